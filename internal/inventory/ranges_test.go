package inventory

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// storeQueuedRecord stores the group's queued write like the store, and returns its record. It
// fails if the store would reject the record as too large.
func (h *harness) storeQueuedRecord(t *testing.T, group *state.MachineGroup, revision cluster.Revision) grouprecord.Record {
	t.Helper()
	write := group.QueuedWrite
	if write == nil {
		t.Fatal("no write is queued")
	}
	h.writes.Cancel(write)
	operations, _ := write.Build("w")
	if size, limit := len(operations[0].Value), int(h.config.ValueLimit); size > limit {
		t.Fatalf("the record has %d bytes, the limit is %d", size, limit)
	}
	record, err := grouprecord.Decode(operations[0].Value)
	if err != nil {
		t.Fatal(err)
	}
	write.OnApplied(revision)
	return record
}

// TestDividedRangesFitIntoRecord guards against a machine whose record is never stored again:
// its tasks form one range, every other one ends, and a group of one machine can't be split.
func TestDividedRangesFitIntoRecord(t *testing.T) {
	for name, end := range map[string]func(*state.Machine, *state.Assignment){
		"stopped":   func(m *state.Machine, a *state.Assignment) { m.MarkConfirmedAbsent(a) },
		"completed": func(m *state.Machine, a *state.Assignment) { m.MarkEnded(a, cluster.CauseCompleted) },
	} {
		t.Run(name, func(t *testing.T) {
			phases := make([]state.AssignmentPhase, cluster.MaxTasksPerHeartbeat(0))
			for i := range phases {
				phases[i] = state.PhaseAcknowledged
			}
			h, _, m := newHarnessWithMachine(t, phases...)
			h.config.ValueLimit = 1024
			assignments := m.SortedAssignments()
			endOthers := func(first int) {
				for i := first; i < len(assignments); i += 2 {
					end(m, assignments[i])
				}
			}
			endOthers(1)
			h.WriteMachine(m, writequeue.PriorityStart)
			record := h.storeQueuedRecord(t, m.Group, 40)
			if listed := len(record.Machines[0].Tasks); listed < len(assignments)/2 {
				t.Fatalf("%d tasks listed, of which %d may run", listed, len(assignments)/2)
			}
			endOthers(0)
			h.loop.Begin(h.loop.Now()+2*second, 0)
			h.loop.RunTimers() // the record is written again although nothing requested it
			if record = h.storeQueuedRecord(t, m.Group, 41); len(record.Machines[0].Tasks) != 0 {
				t.Errorf("%d tasks listed after all have ended", len(record.Machines[0].Tasks))
			}
		})
	}
}

// TestTasksAreRemovedIfRecordFits checks that ended tasks between others are removed from a
// record that is not too large without them.
func TestTasksAreRemovedIfRecordFits(t *testing.T) {
	h, _, m := newHarnessWithMachine(t, state.PhaseAcknowledged, state.PhaseAcknowledged, state.PhaseAcknowledged)
	m.MarkConfirmedAbsent(m.SortedAssignments()[1])
	h.WriteMachine(m, writequeue.PriorityStart)
	if record := h.storeQueuedRecord(t, m.Group, 40); len(record.Machines[0].Tasks) != 2 || len(m.Assignments) != 2 {
		t.Errorf("%d tasks listed and %d assigned, want 2 of each", len(record.Machines[0].Tasks), len(m.Assignments))
	}
}
