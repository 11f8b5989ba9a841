package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/writequeue"
)

// TestAttemptNumbersBeyondOneRevision checks that attempt numbers stay unique if an owner
// starts more tasks than the counter in an attempt number can hold.
func TestAttemptNumbersBeyondOneRevision(t *testing.T) {
	h := newControllerHarness()
	shard := h.state.Shards[0]
	shard.ClaimRevision, shard.AttemptBase, shard.LastStoredRevision = 31, 31, 31
	first := shard.NextAttempt()
	h.addTestJob("j-1", 1)
	machine, _ := h.addRunningMachine(h.state.Jobs.Owned["j-1"])
	h.store.revision = 50
	machine.Group.ModRevision = 0
	h.inventory.WriteMachine(machine, writequeue.PriorityStart)
	h.runFor(100 * millisecond)

	shard.AttemptCount = cluster.MaxAttemptCount - 1
	last, next := shard.NextAttempt(), shard.NextAttempt()
	if last.BaseRevision() != 31 || last.Count() != cluster.MaxAttemptCount {
		t.Errorf("the last attempt has count %d of revision %d, want the maximum count of revision 31", last.Count(), last.BaseRevision())
	}
	if next.BaseRevision() != 51 || next.Count() != 1 {
		t.Errorf("the next attempt has count %d of revision %d, want 1 of 51, the last stored revision", next.Count(), next.BaseRevision())
	}
	if next == first {
		t.Error("an attempt number was repeated")
	}
}
