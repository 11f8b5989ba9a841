package inventory

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// fakeWorkers notes for which machines commands are pushed.
type fakeWorkers struct{ pushed []cluster.MachineID }

func (w *fakeWorkers) ConfirmAbsent(m *state.Machine, a *state.Assignment) { m.MarkConfirmedAbsent(a) }

func (w *fakeWorkers) QueueCommandPush(m *state.Machine) { w.pushed = append(w.pushed, m.ID) }

func (w *fakeWorkers) RecheckHeldHeartbeat(*state.Machine) {}

func (w *fakeWorkers) RedirectWorker(messages.RequestID, cluster.NodeID) {}

// fakeScheduler schedules nothing.
type fakeScheduler struct{}

func (fakeScheduler) RequestScheduling() {}

func (fakeScheduler) MaintainMachines() {}

// newHarnessWithMachine is an owned shard with a machine that is listed with a task per
// given phase.
func newHarnessWithMachine(t *testing.T, phases ...state.AssignmentPhase) (*harness, *fakeWorkers, *state.Machine) {
	t.Helper()
	h, workers := newHarness(t, "n0"), &fakeWorkers{}
	h.workers, h.scheduler = workers, fakeScheduler{}
	shard := h.state.Shards[0]
	shard.Owned, shard.ClaimRevision, shard.ModRevision = true, 30, 30
	line := grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a"}}
	m := h.AddMachine(h.state.AddGroup(shard, "g", 31), line, 31)
	job := state.NewJob(cluster.JobSpec{ID: "j-1", Team: "red", Tasks: len(phases)}, shard.ID, 0, 0)
	h.state.AddOwnedJob(job)
	for i, phase := range phases {
		a := &state.Assignment{Task: cluster.TaskID{Job: "j-1", Index: i}, Job: job, MachineID: m.ID, Attempt: cluster.Attempt(i + 1), Phase: phase}
		m.AddAssignment(a)
		job.SetAssigned(i, a)
	}
	return h, workers, m
}

// store has the group's queued write built and stored at a revision.
func (h *harness) store(t *testing.T, group *state.MachineGroup, revision cluster.Revision) {
	t.Helper()
	write := group.QueuedWrite
	if write == nil {
		t.Fatal("no write is queued")
	}
	h.writes.Cancel(write)
	if operations, _ := write.Build("w"); len(operations) != 1 {
		t.Fatalf("%d changes", len(operations))
	}
	write.OnApplied(revision)
}

// TestStartFollowsStoredRecord: a task may be started only once the stored record lists
// it. One that was assigned while the record was in flight waits for the next record.
func TestStartFollowsStoredRecord(t *testing.T) {
	h, workers, m := newHarnessWithMachine(t, state.PhaseRecording, state.PhaseRecording)
	assignments := m.SortedAssignments()
	late := assignments[1]
	delete(m.Assignments, late.Task)
	h.WriteMachine(m, writequeue.PriorityStart)
	write := m.Group.QueuedWrite
	h.writes.Cancel(write)
	write.Build("w")
	m.AddAssignment(late)
	h.WriteMachine(m, writequeue.PriorityStart)
	if len(workers.pushed) != 0 || assignments[0].Phase != state.PhaseRecording {
		t.Fatal("started before the record was stored")
	}
	write.OnApplied(40)
	if assignments[0].Phase != state.PhaseReady || late.Phase != state.PhaseRecording || len(workers.pushed) != 1 {
		t.Fatalf("phases %d and %d, %d pushes", assignments[0].Phase, late.Phase, len(workers.pushed))
	}
	h.store(t, m.Group, 41)
	if late.Phase != state.PhaseReady || m.Group.ModRevision != 41 {
		t.Errorf("phase %d, mod revision %d", late.Phase, m.Group.ModRevision)
	}
}

// TestAbsentTaskFreedByStoredRecord: a task that is confirmed absent may be started
// elsewhere only once the stored record no longer lists it.
func TestAbsentTaskFreedByStoredRecord(t *testing.T) {
	h, _, m := newHarnessWithMachine(t, state.PhaseAcknowledged)
	a := m.SortedAssignments()[0]
	m.MarkConfirmedAbsent(a)
	h.WriteMachine(m, writequeue.PriorityStart)
	if a.Job.PendingCount() != 0 {
		t.Fatal("waits for a machine while a record lists it")
	}
	h.store(t, m.Group, 40)
	if len(m.Assignments) != 0 || a.Job.PendingCount() != 1 {
		t.Errorf("%d assignments, %d pending tasks", len(m.Assignments), a.Job.PendingCount())
	}
}

// TestCompletedTaskKeptUntilOutcomeStored: a completed task is not listed any more, but
// it is known until its outcome is stored too.
func TestCompletedTaskKeptUntilOutcomeStored(t *testing.T) {
	h, _, m := newHarnessWithMachine(t, state.PhaseAcknowledged)
	a := m.SortedAssignments()[0]
	m.MarkEnded(a, cluster.CauseCompleted)
	a.Job.SetCompleted(a.Task.Index)
	h.WriteMachine(m, writequeue.PriorityStart)
	h.store(t, m.Group, 40)
	if len(m.Assignments) != 1 || !a.RemovedFromRecord {
		t.Errorf("%d assignments, removed from the record: %v", len(m.Assignments), a.RemovedFromRecord)
	}
}

// TestTokenIsRevisionOfItsRecord: the raised token is the revision of the write, and is
// in force from then on, without the worker's acknowledgement.
func TestTokenIsRevisionOfItsRecord(t *testing.T) {
	h, _, m := newHarnessWithMachine(t, state.PhaseAcknowledged)
	m.TokenAcknowledged = true
	h.RaiseToken(m)
	if m.Token != 31 || !m.RaisingToken {
		t.Fatalf("token %d before its record is stored", m.Token)
	}
	h.store(t, m.Group, 40)
	if m.Token != 40 || m.TokenAcknowledged || m.RaisingToken {
		t.Errorf("token %d, acknowledged %v, raising %v", m.Token, m.TokenAcknowledged, m.RaisingToken)
	}
}
