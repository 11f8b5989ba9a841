package controller

import (
	"fmt"
	"testing"

	"stairrelay/internal/state"

	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/grouprecord"
	"stairrelay/internal/ratelimit"
)

// enforceWriteRate has the store refuse changes beyond a rate, as a bucket of one
// second's worth, and returns how many transactions it has refused.
func (b *controllerHarness) enforceWriteRate(rate float64) *int {
	refused := 0
	var allowed ratelimit.TokenBucket
	allowed.SetRate(rate, rate)
	allowed.Refill(b.loop.Now())
	allowed.Fill()
	b.throttles = func(x messages.StoreTxn) bool {
		ok := allowed.Take(b.loop.Now(), float64(len(x.Then)))
		if !ok {
			refused++
		}
		return !ok
	}
	return &refused
}

// newHarnessWithRates is a bench whose settings name a lower write rate for later.
func newHarnessWithRates(present, later float64) *controllerHarness {
	b := newControllerHarness()
	b.config.CurrentWriteRPS, b.config.WriteRPS, b.config.MaxTxnOps = present, later, 4
	dropTimers(b.Controller) // no tidying up, which would join the groups
	b.writeQueue.Configure(b.writeQueueConfig())
	b.jobs.Configure(b.jobsConfig())
	b.inventory.Configure(b.inventoryConfig())
	return b
}

// addGroupsAwaitingRecord makes groups of which each has starts that wait for its record.
func (b *controllerHarness) addGroupsAwaitingRecord(name string, j *state.Job, groups, from int) []*state.MachineGroup {
	var all []*state.MachineGroup
	for i := range groups {
		g := b.addGroupWithTasks(fmt.Sprintf("%s-%02d", name, i), j, 2, 2, from+10*i)
		markTasksRecording(g, 4)
		b.inventory.WriteGroup(g, writequeue.Start)
		all = append(all, g)
	}
	return all
}

// checkGroupsReady fails unless every group was stored with its tasks, which may
// start now, and no part was given up.
func (b *controllerHarness) checkGroupsReady(t *testing.T, groups []*state.MachineGroup) {
	t.Helper()
	for _, g := range groups {
		record, err := grouprecord.Decode(b.store.keys[g.Key()].Value)
		if err != nil || len(record.Machines) != 2 || b.countWrites(g.Key()) == 0 {
			t.Errorf("%s: %d machines listed, %d writes, %v", g.ID, len(record.Machines), b.countWrites(g.Key()), err)
		}
		for _, m := range g.SortedMachines() {
			for _, a := range m.SortedAssignments() {
				if a.Phase != state.PhaseReady {
					t.Errorf("%s: task %d still waits for its record", g.ID, a.Task.Index)
				}
			}
		}
	}
	for _, p := range b.state.Shards {
		if !p.Owned {
			t.Errorf("part %d was given up", p.ID)
		}
	}
}

// TestPresentWriteRateIsUsed: the present rate is spent while the store allows it.
func TestPresentWriteRateIsUsed(t *testing.T) {
	b := newHarnessWithRates(25, 18)
	refused := b.enforceWriteRate(25)
	b.checkSharedRate(t, 25)
	groups := b.addGroupsAwaitingRecord("g", b.addTestJob("j-1", 1000), 20, 0)
	b.runFor(5 * second)
	b.checkSharedRate(t, 25)
	if *refused > 0 {
		t.Errorf("%d transactions were refused", *refused)
	}
	b.checkGroupsReady(t, groups)
}

// checkSharedRate fails unless the controllers share the given rate.
func (b *controllerHarness) checkSharedRate(t *testing.T, rate float64) {
	t.Helper()
	if b.writeQueue.SharedWriteRPS() != rate {
		t.Errorf("the controllers share %v changes a second, not %v", b.writeQueue.SharedWriteRPS(), rate)
	}
	if most := rate * b.config.Tuning.RateBudgetShare; b.writeQueue.PutBudget().Rate() > most {
		t.Errorf("%v of %v changes a second are this controller's", b.writeQueue.PutBudget().Rate(), most)
	}
}

// TestThrottledWriteRateLowered: once the store refuses the present rate the lower one
// that the settings name is kept to. The refused writes are sent again, every
// held start is recorded, and no part is lost.
func TestThrottledWriteRateLowered(t *testing.T) {
	b := newHarnessWithRates(60, 6)
	refused := b.enforceWriteRate(6)
	j := b.addTestJob("j-1", 2000)
	groups := b.addGroupsAwaitingRecord("g", j, 20, 0)
	b.runFor(15 * second)
	if *refused == 0 {
		t.Fatal("nothing was refused: the test shows nothing")
	}
	b.checkSharedRate(t, 6)
	b.checkGroupsReady(t, groups)

	// After that a store that refuses all for a while costs nothing either.
	limited := b.throttles
	refusedAll := 0
	b.throttles = func(messages.StoreTxn) bool { refusedAll++; return true }
	more := b.addGroupsAwaitingRecord("h", j, 5, 500)
	b.runFor(3 * second)
	if refusedAll == 0 {
		t.Fatal("nothing was refused the second time: the test shows nothing")
	}
	for _, g := range more {
		if b.store.keys[g.Key()].ModRevision != 20 {
			t.Errorf("%s was stored though the store refused it", g.ID)
		}
	}
	b.throttles = limited
	b.runFor(15 * second)
	b.checkSharedRate(t, 6)
	b.checkGroupsReady(t, append(groups, more...))
}
