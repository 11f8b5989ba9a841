package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// TestRejectedSplitIsSplitFurther checks that a group whose halves the store rejects as
// too large is split further, until a task in it is recorded and can start.
func TestRejectedSplitIsSplitFurther(t *testing.T) {
	h := newControllerHarness()
	dropTimers(h.Controller)
	const limit = 1000
	h.rejectLongerValues(limit)
	job := h.addTestJob("j-1", 20_000)
	group := h.addGroupWithTasks("large", job, 45, 3, 0)
	machines := group.SortedMachines()
	last := machines[len(machines)-1]
	assignment := &state.Assignment{Task: cluster.TaskID{Job: "j-1", Index: 15_000}, Job: job, ResourceRequest: job.Spec.ResourceRequest, MachineID: last.ID, Attempt: 15_000, Phase: state.PhaseRecording}
	last.AddAssignment(assignment)
	job.SetAssigned(15_000, assignment)
	h.inventory.WriteMachine(last, writequeue.PriorityStart)
	h.runFor(30 * second)
	listed, longest := h.countStoredMachines(t)
	if len(listed) != 45 || longest > limit || assignment.Phase == state.PhaseRecording {
		t.Errorf("after %d transactions %d of 45 machines are listed, the longest record has %d bytes, the start waits for its record: %v",
			len(h.sentTransactions), len(listed), longest, assignment.Phase == state.PhaseRecording)
	}
}
