package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/writequeue"
)

// TestAttemptNumbersBeyondOneRevision: a shard that one controller owns for days has
// more starts than the count of an attempt has room for. Each number is new,
// and belongs to a store change of the owner's own. Before, the count overflowed
// into the claim's bits: the numbers of an odd claim came again.
func TestAttemptNumbersBeyondOneRevision(t *testing.T) {
	b := newControllerHarness()
	shard := b.state.Shards[0]
	shard.ClaimRevision, shard.AttemptBase, shard.LastStoredRevision = 31, 31, 31
	first := shard.NextAttempt()
	b.addTestJob("j-1", 1)
	machine, _ := b.addRunningMachine(b.state.Jobs.Owned["j-1"])
	b.store.revision = 50
	machine.Group.ModRevision = 0
	b.inventory.WriteMachine(machine, writequeue.PriorityStart)
	b.runFor(100 * millisecond)

	shard.AttemptCount = cluster.MaxAttemptCount - 1
	last, next := shard.NextAttempt(), shard.NextAttempt()
	if last.Claim() != 31 || last.Count() != cluster.MaxAttemptCount {
		t.Errorf("the last of the claim is %d of %d", last.Count(), last.Claim())
	}
	if next.Claim() != 51 || next.Count() != 1 {
		t.Errorf("after it comes %d of %d, want 1 of the last stored change, 51", next.Count(), next.Claim())
	}
	if next == first {
		t.Error("a number came again")
	}
}
