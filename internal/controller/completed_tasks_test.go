package controller

import (
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// deliverStatus delivers a machine's next status.
func (b *controllerHarness) deliverStatus(machine *state.Machine, tasks ...cluster.TaskStatus) {
	b.reconciler.ApplyStatus(machine, &cluster.HeartbeatStatus{Machine: machine.ID, Incarnation: machine.Incarnation, SequenceNumber: machine.SequenceNumber + 1, FencingToken: machine.Token, PreemptionNotice: -1, Tasks: tasks}, false)
}

// TestCompletedTaskLeavesGroupRecord: a completed task is left out of its group's next
// record, though its outcome is not stored yet. It stays assigned and with
// its worker until that is stored, and then goes without another write of the
// record. Listed until then, completed tasks filled the records of a store that
// was short of writes: groups were split, and each start needed more writes.
func TestCompletedTaskLeavesGroupRecord(t *testing.T) {
	b := newControllerHarness()
	job := b.addTestJob("j-1", 2)
	machine, assignment := b.addRunningMachine(job)
	job.RecordTooLarge = true // no checkpoint stores its outcomes
	machine.Group.ModRevision = 0
	b.deliverStatus(machine, cluster.TaskStatus{Task: assignment.Task, Attempt: assignment.Attempt, State: cluster.Ended, Cause: cluster.CauseCompleted})
	b.inventory.WriteMachine(machine, writequeue.PriorityStart)
	b.runFor(100 * millisecond)

	record := string(b.store.get(machine.Group.Key()).KV.Value)
	if record == "" || strings.Contains(record, "j-1") {
		t.Fatalf("stored %q, want the machine without the task", record)
	}
	if machine.Assignments[assignment.Task] != assignment || !assignment.RemovedFromRecord || len(machine.EndedToAcknowledge) > 0 {
		t.Fatalf("kept %v, unlisted %v, acknowledged %v before its outcome is stored", machine.Assignments[assignment.Task] == assignment, assignment.RemovedFromRecord, machine.EndedToAcknowledge)
	}
	written := machine.Group.ModRevision
	b.jobs.Records.WriteJob(job, writequeue.PriorityOutcome)
	b.runFor(100 * millisecond)
	if machine.Assignments[assignment.Task] != nil || !machine.EndedToAcknowledge[assignment.TaskAttempt()] {
		t.Error("its outcome is stored, and the worker gets no acknowledgement")
	}
	if b.runFor(4 * second); machine.Group.ModRevision != written {
		t.Error("its record was written once more for that")
	}
}

// TestTaskCompletedUnderPreviousOwner: the previous owner has seen a task complete,
// left it out of the record, and ended before it stored the outcome. The next owner
// learns it from the worker's heartbeat, has it stored, and only then acknowledges it
// to the worker. Acknowledged at once, as other tasks that no record
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
		{"waits for the job's further outcomes", func(job *state.Job) { job.ChunksLoading = 1 }, completed, false},
		{"started elsewhere meanwhile", func(job *state.Job) {
			job.SetAssigned(1, &state.Assignment{Task: completed.Task, Job: job, Attempt: 9})
		}, completed, false},
		{"cancelled", func(job *state.Job) { job.Cancelling = true }, completed, false},
		{"failed", func(*state.Job) {}, cluster.TaskStatus{Task: completed.Task, Attempt: 3, State: cluster.Ended, Cause: cluster.CauseFailed}, false},
		{"beyond the job", func(*state.Job) {}, cluster.TaskStatus{Task: cluster.TaskID{Job: "j-1", Index: 7}, Attempt: 3, State: cluster.Ended, Cause: cluster.CauseCompleted}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newControllerHarness()
			job := b.addTestJob("j-1", 3)
			machine, assignment := b.addRunningMachine(job)
			test.prepare(job)
			b.deliverStatus(machine, cluster.TaskStatus{Task: assignment.Task, Attempt: assignment.Attempt, State: cluster.Running}, test.task)
			if got := job.CompletedCount == 1 && machine.Assignments[test.task.Task] != nil; got != test.learned {
				t.Fatalf("learned %v, %d done", got, job.CompletedCount)
			}
			if !test.learned {
				return
			}
			if len(machine.EndedToAcknowledge) > 0 {
				t.Error("it is acknowledged to the worker before it is stored")
			}
			b.jobs.Records.WriteJob(job, writequeue.PriorityOutcome)
			b.runFor(100 * millisecond)
			if kv := b.store.get(job.ChunkKey(0)).KV; !strings.Contains(string(kv.Value), `"d":"1"`) {
				t.Errorf("stored %s", kv.Value)
			}
			if !machine.EndedToAcknowledge[state.TaskAttempt{Task: test.task.Task, Attempt: test.task.Attempt}] || machine.Assignments[test.task.Task] != nil {
				t.Error("it is stored, and the worker gets no acknowledgement")
			}
		})
	}
}
