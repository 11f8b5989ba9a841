package controller

import (
	"testing"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/writequeue"
)

// TestRejectedSplitIsSplitFurther: the limit in force is far below the one known, so that the
// two halves of a record are refused as well. It is split further, and what it
// was to be written for is stored in the end.
func TestRejectedSplitIsSplitFurther(t *testing.T) {
	b := newControllerHarness()
	dropTimers(b.Controller)
	const limit = 1000
	b.rejectLongerValues(limit)
	j := b.addTestJob("j-1", 20_000)
	g := b.addGroupWithTasks("large", j, 45, 3, 0)
	var m *state.Machine
	for _, x := range g.SortedMachines() {
		m = x
	}
	a := &state.Assignment{Task: cluster.TaskID{Job: "j-1", Index: 15_000}, Job: j, ResourceRequest: j.Spec.ResourceRequest, MachineID: m.ID, Attempt: 15_000, Phase: state.PhaseRecording}
	m.AddAssignment(a)
	j.SetAssigned(15_000, a)
	b.inventory.WriteMachine(m, writequeue.Start)
	b.runFor(30 * second)
	n, longest := b.countStoredMachines(t)
	if len(n) != 45 || longest > limit || a.Phase == state.PhaseRecording {
		t.Errorf("after %d transactions %d of 45 machines are listed, the longest record has %d bytes, the start waits for its record: %v",
			len(b.sentTransactions), len(n), longest, a.Phase == state.PhaseRecording)
	}
}
