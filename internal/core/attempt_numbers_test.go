package core

import (
	"testing"

	"stairrelay/internal/model"
)

// TestAttemptsBeyondOneClaim: a part that one controller holds for days numbers
// more starts than the count of an attempt has room for. Each number is new,
// and belongs to a store change of the holder's own. Before, the count ran over
// into the claim's bits: the numbers of an odd claim came again.
func TestAttemptsBeyondOneClaim(t *testing.T) {
	b := newCoreHarness()
	p := b.parts[0]
	p.claim, p.attemptBase, p.lastStored = 31, 31, 31
	first := p.nextAttempt()
	b.job("j-1", 1)
	m, _ := b.running(b.jobs.held["j-1"])
	b.store.epoch = 50
	m.group.mark = 0
	b.writeMachine(m, prioStart)
	b.play(100 * milli)

	p.attempts = model.MaxAttemptCount - 1
	last, next := p.nextAttempt(), p.nextAttempt()
	if last.Claim() != 31 || last.Count() != model.MaxAttemptCount {
		t.Errorf("the last of the claim is %d of %d", last.Count(), last.Claim())
	}
	if next.Claim() != 51 || next.Count() != 1 {
		t.Errorf("after it comes %d of %d, want 1 of the last stored change, 51", next.Count(), next.Claim())
	}
	if next == first {
		t.Error("a number came again")
	}
}
