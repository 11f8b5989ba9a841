package controller

import (
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// deliverStatus applies the next heartbeat status of a machine, which lists the given
// tasks.
func (h *controllerHarness) deliverStatus(machine *state.Machine, tasks ...cluster.TaskStatus) {
	h.reconciler.ApplyStatus(machine, &cluster.HeartbeatStatus{Machine: machine.ID, Incarnation: machine.Incarnation, SequenceNumber: machine.SequenceNumber + 1, FencingToken: machine.Token, PreemptionNotice: -1, Tasks: tasks}, false)
}

// TestCompletedTaskLeavesGroupRecord checks that the next write of a group's record omits
// a completed task, which stays assigned until its outcome is stored.
func TestCompletedTaskLeavesGroupRecord(t *testing.T) {
	h := newControllerHarness()
	job := h.addTestJob("j-1", 2)
	machine, assignment := h.addRunningMachine(job)
	job.RecordTooLarge = true // prevents background writes of its outcomes
	machine.Group.ModRevision = 0
	h.deliverStatus(machine, cluster.TaskStatus{Task: assignment.Task, Attempt: assignment.Attempt, State: cluster.Ended, Cause: cluster.CauseCompleted})
	h.inventory.WriteMachine(machine, writequeue.PriorityStart)
	h.runFor(100 * millisecond)

	record := string(h.store.get(machine.Group.Key()).KV.Value)
	if record == "" || strings.Contains(record, "j-1") {
		t.Fatalf("stored %q, want the machine without the task", record)
	}
	if machine.Assignments[assignment.Task] != assignment || !assignment.RemovedFromRecord || len(machine.EndedToAcknowledge) > 0 {
		t.Fatalf("before the outcome is stored: assigned %v, removed from the record %v, acknowledged %v; want true, true, false", machine.Assignments[assignment.Task] == assignment, assignment.RemovedFromRecord, machine.EndedToAcknowledge)
	}
	written := machine.Group.ModRevision
	h.jobs.Records.WriteJob(job, writequeue.PriorityOutcome)
	h.runFor(100 * millisecond)
	if machine.Assignments[assignment.Task] != nil || !machine.EndedToAcknowledge[assignment.TaskAttempt()] {
		t.Error("the outcome is stored, but is not acknowledged to the worker")
	}
	if h.runFor(4 * second); machine.Group.ModRevision != written {
		t.Error("the group's record was written again after the outcome was stored")
	}
}

// TestTaskCompletedUnderPreviousOwner checks which tasks that ended under the previous
// owner are marked as completed, and that a completion is stored before it is acknowledged.
func TestTaskCompletedUnderPreviousOwner(t *testing.T) {
	completed := cluster.TaskStatus{Task: cluster.TaskID{Job: "j-1", Index: 1}, Attempt: 3, State: cluster.Ended, Cause: cluster.CauseCompleted}
	for _, test := range []struct {
		name            string
		prepare         func(*state.Job)
		task            cluster.TaskStatus
		markedCompleted bool
	}{
		{"outcome not stored", func(*state.Job) {}, completed, true},
		{"job's outcomes are still loading", func(job *state.Job) { job.ChunksLoading = 1 }, completed, false},
		{"started on another machine", func(job *state.Job) {
			job.SetAssigned(1, &state.Assignment{Task: completed.Task, Job: job, Attempt: 9})
		}, completed, false},
		{"cancelled", func(job *state.Job) { job.Cancelling = true }, completed, false},
		{"failed", func(*state.Job) {}, cluster.TaskStatus{Task: completed.Task, Attempt: 3, State: cluster.Ended, Cause: cluster.CauseFailed}, false},
		{"index out of range", func(*state.Job) {}, cluster.TaskStatus{Task: cluster.TaskID{Job: "j-1", Index: 7}, Attempt: 3, State: cluster.Ended, Cause: cluster.CauseCompleted}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newControllerHarness()
			job := h.addTestJob("j-1", 3)
			machine, assignment := h.addRunningMachine(job)
			test.prepare(job)
			h.deliverStatus(machine, cluster.TaskStatus{Task: assignment.Task, Attempt: assignment.Attempt, State: cluster.Running}, test.task)
			if got := job.CompletedCount == 1 && machine.Assignments[test.task.Task] != nil; got != test.markedCompleted {
				t.Fatalf("marked as completed: %v; %d tasks of the job are completed", got, job.CompletedCount)
			}
			if !test.markedCompleted {
				return
			}
			if len(machine.EndedToAcknowledge) > 0 {
				t.Error("the completion is acknowledged to the worker before it is stored")
			}
			h.jobs.Records.WriteJob(job, writequeue.PriorityOutcome)
			h.runFor(100 * millisecond)
			if kv := h.store.get(job.ChunkKey(0)).KV; !strings.Contains(string(kv.Value), `"d":"1"`) {
				t.Errorf("stored %s, want task 1 listed as completed", kv.Value)
			}
			if !machine.EndedToAcknowledge[state.TaskAttempt{Task: test.task.Task, Attempt: test.task.Attempt}] || machine.Assignments[test.task.Task] != nil {
				t.Error("the completion is stored, but is not acknowledged to the worker")
			}
		})
	}
}
