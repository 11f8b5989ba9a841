package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// TestRejectedSplitIsSplitFurther checks that a group whose halves the store rejects as
// too large, because its value limit is far below the configured one, is split further
// until the waiting start is recorded.
func TestRejectedSplitIsSplitFurther(t *testing.T) {
	b := newControllerHarness()
	dropTimers(b.Controller)
	const limit = 1000
	b.rejectLongerValues(limit)
	job := b.addTestJob("j-1", 20_000)
	group := b.addGroupWithTasks("large", job, 45, 3, 0)
	machines := group.SortedMachines()
	last := machines[len(machines)-1]
	assignment := &state.Assignment{Task: cluster.TaskID{Job: "j-1", Index: 15_000}, Job: job, ResourceRequest: job.Spec.ResourceRequest, MachineID: last.ID, Attempt: 15_000, Phase: state.PhaseRecording}
	last.AddAssignment(assignment)
	job.SetAssigned(15_000, assignment)
	b.inventory.WriteMachine(last, writequeue.PriorityStart)
	b.runFor(30 * second)
	listed, longest := b.countStoredMachines(t)
	if len(listed) != 45 || longest > limit || assignment.Phase == state.PhaseRecording {
		t.Errorf("after %d transactions %d of 45 machines are listed, the longest record has %d bytes, the start waits for its record: %v",
			len(b.sentTransactions), len(listed), longest, assignment.Phase == state.PhaseRecording)
	}
}
