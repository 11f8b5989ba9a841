package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/writequeue"
)

// TestAttemptNumbersBeyondOneRevision: a part that one controller holds for days numbers
// more starts than the count of an attempt has room for. Each number is new,
// and belongs to a store change of the holder's own. Before, the count ran over
// into the claim's bits: the numbers of an odd claim came again.
func TestAttemptNumbersBeyondOneRevision(t *testing.T) {
	b := newControllerHarness()
	p := b.shards[0]
	p.claimRevision, p.attemptBase, p.lastStoredRevision = 31, 31, 31
	first := p.nextAttempt()
	b.addTestJob("j-1", 1)
	m, _ := b.addRunningMachine(b.jobs.owned["j-1"])
	b.store.revision = 50
	m.group.modRevision = 0
	b.writeMachine(m, writequeue.Start)
	b.runFor(100 * millisecond)

	p.attemptCount = cluster.MaxAttemptCount - 1
	last, next := p.nextAttempt(), p.nextAttempt()
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
