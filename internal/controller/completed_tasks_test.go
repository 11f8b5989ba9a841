package controller

import (
	"strings"
	"testing"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/writequeue"
)

// deliverStatus is a machine's next account of itself.
func (b *controllerHarness) deliverStatus(m *state.Machine, tasks ...cluster.TaskStatus) {
	b.reconciler.ApplyStatus(m, &cluster.HeartbeatStatus{Machine: m.ID, Incarnation: m.Incarnation, SequenceNumber: m.SequenceNumber + 1, FencingToken: m.Token, PreemptionNotice: -1, Tasks: tasks}, false)
}

// TestCompletedTaskLeavesGroupRecord: a completed task is left out of its group's next
// record, though its outcome is not stored yet. It stays in the books and with
// its worker until that is stored, and then goes without another write of the
// record. Listed until then, completed tasks filled the records of a store that
// was short of writes: groups were split, and each start needed more writes.
func TestCompletedTaskLeavesGroupRecord(t *testing.T) {
	b := newControllerHarness()
	j := b.addTestJob("j-1", 2)
	m, a := b.addRunningMachine(j)
	j.RecordTooLarge = true // no checkpoint stores its outcomes
	m.Group.ModRevision = 0
	b.deliverStatus(m, cluster.TaskStatus{Task: a.Task, Attempt: a.Attempt, State: cluster.Ended, Cause: cluster.CauseCompleted})
	b.inventory.WriteMachine(m, writequeue.Start)
	b.runFor(100 * millisecond)

	record := string(b.store.get(m.Group.Key()).KV.Value)
	if record == "" || strings.Contains(record, "j-1") {
		t.Fatalf("stored %q, want the machine without the task", record)
	}
	if m.Assignments[a.Task] != a || !a.RemovedFromRecord || len(m.EndedToAcknowledge) > 0 {
		t.Fatalf("kept %v, unlisted %v, reaped %v before its outcome is stored", m.Assignments[a.Task] == a, a.RemovedFromRecord, m.EndedToAcknowledge)
	}
	written := m.Group.ModRevision
	b.jobs.Records.Write(j, writequeue.Outcome)
	b.runFor(100 * millisecond)
	if m.Assignments[a.Task] != nil || !m.EndedToAcknowledge[a.TaskAttempt()] {
		t.Error("its outcome is stored, and the worker is not told to forget it")
	}
	if b.runFor(4 * second); m.Group.ModRevision != written {
		t.Error("its record was written once more for that")
	}
}

// TestTaskCompletedUnderPreviousOwner: the holder before has seen a task complete,
// left it out of the record, and ended before it stored the outcome. Its
// successor learns it from the worker's report, has it stored, and only then
// lets the worker forget it. Forgotten at once, as other tasks that no record
// lists, it would be started again.
func TestTaskCompletedUnderPreviousOwner(t *testing.T) {
	completed := cluster.TaskStatus{Task: cluster.TaskID{Job: "j-1", Index: 1}, Attempt: 3, State: cluster.Ended, Cause: cluster.CauseCompleted}
	for _, test := range []struct {
		name    string
		prepare func(*state.Job)
		task    cluster.TaskStatus
		learned bool
	}{
		{"not known to be done", func(*state.Job) {}, completed, true},
		{"waits for the job's further outcomes", func(j *state.Job) { j.ChunksLoading = 1 }, completed, false},
		{"started elsewhere meanwhile", func(j *state.Job) { j.SetAssigned(1, &state.Assignment{Task: completed.Task, Job: j, Attempt: 9}) }, completed, false},
		{"cancelled", func(j *state.Job) { j.Cancelling = true }, completed, false},
		{"failed", func(*state.Job) {}, cluster.TaskStatus{Task: completed.Task, Attempt: 3, State: cluster.Ended, Cause: cluster.CauseFailed}, false},
		{"beyond the job", func(*state.Job) {}, cluster.TaskStatus{Task: cluster.TaskID{Job: "j-1", Index: 7}, Attempt: 3, State: cluster.Ended, Cause: cluster.CauseCompleted}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newControllerHarness()
			j := b.addTestJob("j-1", 3)
			m, a := b.addRunningMachine(j)
			test.prepare(j)
			b.deliverStatus(m, cluster.TaskStatus{Task: a.Task, Attempt: a.Attempt, State: cluster.Running}, test.task)
			if got := j.CompletedCount == 1 && m.Assignments[test.task.Task] != nil; got != test.learned {
				t.Fatalf("learned %v, %d done", got, j.CompletedCount)
			}
			if !test.learned {
				return
			}
			if len(m.EndedToAcknowledge) > 0 {
				t.Error("the worker may forget it before it is stored")
			}
			b.jobs.Records.Write(j, writequeue.Outcome)
			b.runFor(100 * millisecond)
			if kv := b.store.get(j.ChunkKey(0)).KV; !strings.Contains(string(kv.Value), `"d":"1"`) {
				t.Errorf("stored %s", kv.Value)
			}
			if !m.EndedToAcknowledge[state.TaskAttempt{Task: test.task.Task, Attempt: test.task.Attempt}] || m.Assignments[test.task.Task] != nil {
				t.Error("it is stored, and the worker is not told to forget it")
			}
		})
	}
}
