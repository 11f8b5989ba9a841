package controller

import (
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/writequeue"
)

// deliverStatus is a machine's next account of itself.
func (b *controllerHarness) deliverStatus(m *machine, tasks ...cluster.TaskStatus) {
	b.reconcile(m, &cluster.HeartbeatStatus{Machine: m.id, Incarnation: m.incarnation, SequenceNumber: m.sequenceNumber + 1, FencingToken: m.token, PreemptionNotice: -1, Tasks: tasks}, false)
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
	j.recordTooLarge = true // no checkpoint stores its outcomes
	m.group.modRevision = 0
	b.deliverStatus(m, cluster.TaskStatus{Task: a.task, Attempt: a.attempt, State: cluster.Ended, Cause: cluster.CauseCompleted})
	b.writeMachine(m, writequeue.Start)
	b.runFor(100 * millisecond)

	record := string(b.store.get(m.group.key()).KV.Value)
	if record == "" || strings.Contains(record, "j-1") {
		t.Fatalf("stored %q, want the machine without the task", record)
	}
	if m.assignments[a.task] != a || !a.removedFromRecord || len(m.endedToAcknowledge) > 0 {
		t.Fatalf("kept %v, unlisted %v, reaped %v before its outcome is stored", m.assignments[a.task] == a, a.removedFromRecord, m.endedToAcknowledge)
	}
	written := m.group.modRevision
	b.writeJob(j, writequeue.Outcome)
	b.runFor(100 * millisecond)
	if m.assignments[a.task] != nil || !m.endedToAcknowledge[a.taskAttempt()] {
		t.Error("its outcome is stored, and the worker is not told to forget it")
	}
	if b.runFor(4 * second); m.group.modRevision != written {
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
		prepare func(*job)
		task    cluster.TaskStatus
		learned bool
	}{
		{"not known to be done", func(*job) {}, completed, true},
		{"waits for the job's further outcomes", func(j *job) { j.chunksLoading = 1 }, completed, false},
		{"started elsewhere meanwhile", func(j *job) { j.setAssigned(1, &assignment{task: completed.Task, job: j, attempt: 9}) }, completed, false},
		{"cancelled", func(j *job) { j.cancelling = true }, completed, false},
		{"failed", func(*job) {}, cluster.TaskStatus{Task: completed.Task, Attempt: 3, State: cluster.Ended, Cause: cluster.CauseFailed}, false},
		{"beyond the job", func(*job) {}, cluster.TaskStatus{Task: cluster.TaskID{Job: "j-1", Index: 7}, Attempt: 3, State: cluster.Ended, Cause: cluster.CauseCompleted}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newControllerHarness()
			j := b.addTestJob("j-1", 3)
			m, a := b.addRunningMachine(j)
			test.prepare(j)
			b.deliverStatus(m, cluster.TaskStatus{Task: a.task, Attempt: a.attempt, State: cluster.Running}, test.task)
			if got := j.completedCount == 1 && m.assignments[test.task.Task] != nil; got != test.learned {
				t.Fatalf("learned %v, %d done", got, j.completedCount)
			}
			if !test.learned {
				return
			}
			if len(m.endedToAcknowledge) > 0 {
				t.Error("the worker may forget it before it is stored")
			}
			b.writeJob(j, writequeue.Outcome)
			b.runFor(100 * millisecond)
			if kv := b.store.get(j.chunkKey(0)).KV; !strings.Contains(string(kv.Value), `"d":"1"`) {
				t.Errorf("stored %s", kv.Value)
			}
			if !m.endedToAcknowledge[taskAttempt{test.task.Task, test.task.Attempt}] || m.assignments[test.task.Task] != nil {
				t.Error("it is stored, and the worker is not told to forget it")
			}
		})
	}
}
