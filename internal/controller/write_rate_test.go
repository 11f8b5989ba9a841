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

// enforceWriteRate makes the store throttle operations above rate per second, with a
// burst of one second. It returns the number of throttled transactions.
func (b *controllerHarness) enforceWriteRate(rate float64) *int {
	throttled := 0
	var allowed ratelimit.TokenBucket
	allowed.SetRate(rate, rate)
	allowed.Refill(b.loop.Now())
	allowed.Fill()
	b.throttles = func(transaction messages.StoreTxn) bool {
		ok := allowed.Take(b.loop.Now(), float64(len(transaction.Then)))
		if !ok {
			throttled++
		}
		return !ok
	}
	return &throttled
}

// newHarnessWithRates returns a harness with a current write rate and the lower one
// that its settings announce.
func newHarnessWithRates(current, lowered float64) *controllerHarness {
	b := newControllerHarness()
	b.config.CurrentWriteRPS, b.config.WriteRPS = current, lowered
	dropTimers(b.Controller) // disables maintenance, which would merge the groups
	b.configureLimits(4)
	return b
}

// addGroupsAwaitingRecord adds groups with starts that wait for the records of the
// groups.
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

// checkGroupsReady checks that every group was stored with its machines, that its tasks
// may start, and that no shard was dropped.
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
			t.Errorf("shard %d was dropped", shard.ID)
		}
	}
}

// TestCurrentWriteRateIsUsed checks that the controllers use the current write rate as
// long as the store accepts it.
func TestCurrentWriteRateIsUsed(t *testing.T) {
	b := newHarnessWithRates(25, 18)
	throttled := b.enforceWriteRate(25)
	b.checkSharedRate(t, 25)
	groups := b.addGroupsAwaitingRecord("g", b.addTestJob("j-1", 1000), 20, 0)
	b.runFor(5 * second)
	b.checkSharedRate(t, 25)
	if *throttled > 0 {
		t.Errorf("%d transactions were throttled", *throttled)
	}
	b.checkGroupsReady(t, groups)
}

// checkSharedRate checks that the controllers share the given write rate.
func (b *controllerHarness) checkSharedRate(t *testing.T, rate float64) {
	t.Helper()
	if b.writeQueue.SharedWriteRPS() != rate {
		t.Errorf("the controllers share %v writes per second, want %v", b.writeQueue.SharedWriteRPS(), rate)
	}
	if maxRate := rate * b.config.Tuning.RateBudgetShare; b.writeQueue.PutBudget().Rate() > maxRate {
		t.Errorf("this controller may make %v writes per second, want at most %v", b.writeQueue.PutBudget().Rate(), maxRate)
	}
}

// TestThrottledWriteRateLowered checks that the lower write rate applies once the store
// has throttled the current one, and that all throttled writes are retried and no shard
// is dropped.
func TestThrottledWriteRateLowered(t *testing.T) {
	b := newHarnessWithRates(60, 6)
	throttled := b.enforceWriteRate(6)
	job := b.addTestJob("j-1", 2000)
	groups := b.addGroupsAwaitingRecord("g", job, 20, 0)
	b.runFor(15 * second)
	if *throttled == 0 {
		t.Fatal("no transaction was throttled, so the test is inconclusive")
	}
	b.checkSharedRate(t, 6)
	b.checkGroupsReady(t, groups)

	// Nothing is lost either if the store then throttles all transactions for a while.
	limited := b.throttles
	throttledAll := 0
	b.throttles = func(messages.StoreTxn) bool { throttledAll++; return true }
	more := b.addGroupsAwaitingRecord("h", job, 5, 500)
	b.runFor(3 * second)
	if throttledAll == 0 {
		t.Fatal("no transaction was throttled the second time, so the test is inconclusive")
	}
	for _, group := range more {
		if b.store.keys[group.Key()].ModRevision != 20 {
			t.Errorf("%s was stored although the store throttled its write", group.ID)
		}
	}
	b.throttles = limited
	b.runFor(15 * second)
	b.checkSharedRate(t, 6)
	b.checkGroupsReady(t, append(groups, more...))
}
