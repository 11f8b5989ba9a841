package controller

import (
	"fmt"
	"testing"

	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/ratelimit"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// enforceWriteRate lets the store throttle changes beyond a rate, with a bucket of one
// second, and returns how many transactions it has refused.
func (b *controllerHarness) enforceWriteRate(rate float64) *int {
	refused := 0
	var allowed ratelimit.TokenBucket
	allowed.SetRate(rate, rate)
	allowed.Refill(b.loop.Now())
	allowed.Fill()
	b.throttles = func(transaction messages.StoreTxn) bool {
		ok := allowed.Take(b.loop.Now(), float64(len(transaction.Then)))
		if !ok {
			refused++
		}
		return !ok
	}
	return &refused
}

// newHarnessWithRates is a harness whose settings name a lower write rate for later.
func newHarnessWithRates(present, later float64) *controllerHarness {
	b := newControllerHarness()
	b.config.CurrentWriteRPS, b.config.WriteRPS = present, later
	dropTimers(b.Controller) // no maintenance, which would merge the groups
	b.configureLimits(4)
	return b
}

// addGroupsAwaitingRecord makes groups of which each has starts that wait for its record.
func (b *controllerHarness) addGroupsAwaitingRecord(name string, job *state.Job, groups, from int) []*state.MachineGroup {
	var all []*state.MachineGroup
	for i := range groups {
		group := b.addGroupWithTasks(fmt.Sprintf("%s-%02d", name, i), job, 2, 2, from+10*i)
		markTasksRecording(group, 4)
		b.inventory.WriteGroup(group, writequeue.PriorityStart)
		all = append(all, group)
	}
	return all
}

// checkGroupsReady fails unless every group was stored with its tasks, which may
// start now, and no shard was given up.
func (b *controllerHarness) checkGroupsReady(t *testing.T, groups []*state.MachineGroup) {
	t.Helper()
	for _, group := range groups {
		record, err := grouprecord.Decode(b.store.keys[group.Key()].Value)
		if err != nil || len(record.Machines) != 2 || b.countWrites(group.Key()) == 0 {
			t.Errorf("%s: %d machines listed, %d writes, %v", group.ID, len(record.Machines), b.countWrites(group.Key()), err)
		}
		for _, machine := range group.SortedMachines() {
			for _, assignment := range machine.SortedAssignments() {
				if assignment.Phase != state.PhaseReady {
					t.Errorf("%s: task %d still waits for its record", group.ID, assignment.Task.Index)
				}
			}
		}
	}
	for _, shard := range b.state.Shards {
		if !shard.Owned {
			t.Errorf("shard %d was given up", shard.ID)
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
// start that waited is recorded, and no shard is lost.
func TestThrottledWriteRateLowered(t *testing.T) {
	b := newHarnessWithRates(60, 6)
	refused := b.enforceWriteRate(6)
	job := b.addTestJob("j-1", 2000)
	groups := b.addGroupsAwaitingRecord("g", job, 20, 0)
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
	more := b.addGroupsAwaitingRecord("h", job, 5, 500)
	b.runFor(3 * second)
	if refusedAll == 0 {
		t.Fatal("nothing was refused the second time: the test shows nothing")
	}
	for _, group := range more {
		if b.store.keys[group.Key()].ModRevision != 20 {
			t.Errorf("%s was stored though the store refused it", group.ID)
		}
	}
	b.throttles = limited
	b.runFor(15 * second)
	b.checkSharedRate(t, 6)
	b.checkGroupsReady(t, append(groups, more...))
}
