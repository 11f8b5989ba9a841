package core

import (
	"strings"
	"testing"
)

// report is a machine's next account of itself.
func (b *controllerHarness) deliverStatus(m *machine, tasks ...TaskStatus) {
	b.reconcile(m, &HeartbeatStatus{Machine: m.id, Incarnation: m.incarnation, SequenceNumber: m.sequenceNumber + 1, FencingToken: m.token, PreemptionNotice: -1, Tasks: tasks}, false)
}

// TestCompletedLeavesRecord: a completed task is left out of its group's next
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
	b.deliverStatus(m, TaskStatus{Task: a.task, Attempt: a.attempt, State: Ended, Cause: CauseCompleted})
	b.writeMachine(m, priorityStart)
	b.runFor(100 * millisecond)

	record := string(b.store.get(m.group.key()).KV.Value)
	if record == "" || strings.Contains(record, "j-1") {
		t.Fatalf("stored %q, want the machine without the task", record)
	}
	if m.assignments[a.task] != a || !a.removedFromRecord || len(m.endedToAcknowledge) > 0 {
		t.Fatalf("kept %v, unlisted %v, reaped %v before its outcome is stored", m.assignments[a.task] == a, a.removedFromRecord, m.endedToAcknowledge)
	}
	written := m.group.modRevision
	b.writeJob(j, priorityOutcome)
	b.runFor(100 * millisecond)
	if m.assignments[a.task] != nil || !m.endedToAcknowledge[a.taskAttempt()] {
		t.Error("its outcome is stored, and the worker is not told to forget it")
	}
	if b.runFor(4 * second); m.group.modRevision != written {
		t.Error("its record was written once more for that")
	}
}

// TestCompletedUnderEarlierHolder: the holder before has seen a task complete,
// left it out of the record, and ended before it stored the outcome. Its
// successor learns it from the worker's report, has it stored, and only then
// lets the worker forget it. Forgotten at once, as other tasks that no record
// lists, it would be started again.
func TestTaskCompletedUnderPreviousOwner(t *testing.T) {
	completed := TaskStatus{Task: TaskID{Job: "j-1", Index: 1}, Attempt: 3, State: Ended, Cause: CauseCompleted}
	for _, test := range []struct {
		name    string
		prepare func(*job)
		task    TaskStatus
		learned bool
	}{
		{"not known to be done", func(*job) {}, completed, true},
		{"waits for the job's further outcomes", func(j *job) { j.chunksLoading = 1 }, completed, false},
		{"started elsewhere meanwhile", func(j *job) { j.setAssigned(1, &assignment{task: completed.Task, job: j, attempt: 9}) }, completed, false},
		{"cancelled", func(j *job) { j.cancelling = true }, completed, false},
		{"failed", func(*job) {}, TaskStatus{Task: completed.Task, Attempt: 3, State: Ended, Cause: CauseFailed}, false},
		{"beyond the job", func(*job) {}, TaskStatus{Task: TaskID{Job: "j-1", Index: 7}, Attempt: 3, State: Ended, Cause: CauseCompleted}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newControllerHarness()
			j := b.addTestJob("j-1", 3)
			m, a := b.addRunningMachine(j)
			test.prepare(j)
			b.deliverStatus(m, TaskStatus{Task: a.task, Attempt: a.attempt, State: Running}, test.task)
			if got := j.completedCount == 1 && m.assignments[test.task.Task] != nil; got != test.learned {
				t.Fatalf("learned %v, %d done", got, j.completedCount)
			}
			if !test.learned {
				return
			}
			if len(m.endedToAcknowledge) > 0 {
				t.Error("the worker may forget it before it is stored")
			}
			b.writeJob(j, priorityOutcome)
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
