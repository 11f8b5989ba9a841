package core

import (
	"fmt"
	"testing"

	"stairrelay/internal/grouprecord"
	"stairrelay/internal/ratelimit"
)

// rateLimit has the store refuse changes beyond a rate, as a bucket of one
// second's worth, and returns how many transactions it has refused.
func (b *coreHarness) rateLimit(rate float64) *int {
	refused := 0
	var allowed ratelimit.TokenBucket
	allowed.SetRate(rate, rate)
	allowed.Refill(b.now)
	allowed.Fill()
	b.throttle = func(x StoreTxn) bool {
		ok := allowed.Take(b.now, float64(len(x.Then)))
		if !ok {
			refused++
		}
		return !ok
	}
	return &refused
}

// withRates is a bench whose settings name a lower write rate for later.
func withRates(present, later float64) *coreHarness {
	b := newCoreHarness()
	b.cfg.PresentWriteRPS, b.cfg.WriteRPS, b.cfg.TxnOps = present, later, 4
	b.timers = timerQueue{} // no tidying up, which would join the groups
	b.writer.init(b.Core)
	return b
}

// heldStarts makes groups of which each has starts that wait for its record.
func (b *coreHarness) heldStarts(name string, j *job, groups, from int) []*group {
	var all []*group
	for i := range groups {
		g := b.filled(fmt.Sprintf("%s-%02d", name, i), j, 2, 2, from+10*i)
		recordingTasks(g, 4)
		b.writeGroup(g, prioStart)
		all = append(all, g)
	}
	return all
}

// checkStarted fails unless every group was stored with its tasks, which may
// start now, and no part was given up.
func (b *coreHarness) checkStarted(t *testing.T, groups []*group) {
	t.Helper()
	for _, g := range groups {
		record, err := grouprecord.Decode(b.store.keys[g.key()].Value)
		if err != nil || len(record.Machines) != 2 || b.writesOf(g.key()) == 0 {
			t.Errorf("%s: %d machines listed, %d writes, %v", g.id, len(record.Machines), b.writesOf(g.key()), err)
		}
		for _, m := range g.list() {
			for _, a := range m.sorted() {
				if a.phase != aReady {
					t.Errorf("%s: task %d still waits for its record", g.id, a.task.Index)
				}
			}
		}
	}
	for _, p := range b.parts {
		if !p.held {
			t.Errorf("part %d was given up", p.id)
		}
	}
}

// TestPresentWriteRateIsUsed: the present rate is spent while the store allows it.
func TestPresentWriteRateIsUsed(t *testing.T) {
	b := withRates(25, 18)
	refused := b.rateLimit(25)
	b.checkRate(t, 25)
	groups := b.heldStarts("g", b.job("j-1", 1000), 20, 0)
	b.play(5 * second)
	b.checkRate(t, 25)
	if *refused > 0 {
		t.Errorf("%d transactions were refused", *refused)
	}
	b.checkStarted(t, groups)
}

// checkRate fails unless the controllers share the given rate.
func (b *coreHarness) checkRate(t *testing.T, rate float64) {
	t.Helper()
	if b.writer.writeRPS != rate {
		t.Errorf("the controllers share %v changes a second, not %v", b.writer.writeRPS, rate)
	}
	if most := rate * b.cfg.Tuning.BudgetShare; b.writer.puts.Rate() > most {
		t.Errorf("%v of %v changes a second are this controller's", b.writer.puts.Rate(), most)
	}
}

// TestWriteRateRefused: once the store refuses the present rate the lower one
// that the settings name is kept to. The refused writes are sent again, every
// held start is recorded, and no part is lost.
func TestWriteRateRefused(t *testing.T) {
	b := withRates(60, 6)
	refused := b.rateLimit(6)
	j := b.job("j-1", 2000)
	groups := b.heldStarts("g", j, 20, 0)
	b.play(15 * second)
	if *refused == 0 {
		t.Fatal("nothing was refused: the test shows nothing")
	}
	b.checkRate(t, 6)
	b.checkStarted(t, groups)

	// After that a store that refuses all for a while costs nothing either.
	limited := b.throttle
	refusedAll := 0
	b.throttle = func(StoreTxn) bool { refusedAll++; return true }
	more := b.heldStarts("h", j, 5, 500)
	b.play(3 * second)
	if refusedAll == 0 {
		t.Fatal("nothing was refused the second time: the test shows nothing")
	}
	for _, g := range more {
		if b.store.keys[g.key()].Mark != 20 {
			t.Errorf("%s was stored though the store refused it", g.id)
		}
	}
	b.throttle = limited
	b.play(15 * second)
	b.checkRate(t, 6)
	b.checkStarted(t, append(groups, more...))
}
