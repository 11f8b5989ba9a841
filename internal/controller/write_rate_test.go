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
// burst of one second. It returns a counter of the throttled transactions.
func (h *controllerHarness) enforceWriteRate(rate float64) *int {
	throttled := 0
	var allowed ratelimit.TokenBucket
	allowed.SetRate(rate, rate)
	allowed.Refill(h.loop.Now())
	allowed.Fill()
	h.throttles = func(transaction messages.StoreTxn) bool {
		ok := allowed.Take(h.loop.Now(), float64(len(transaction.Then)))
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
	h := newControllerHarness()
	h.config.CurrentWriteRPS, h.config.WriteRPS = current, lowered
	dropTimers(h.Controller) // disables maintenance, which would merge the groups
	h.configureLimits(4)
	return h
}

// addGroupsAwaitingRecord adds groups with starts that wait for the records of the
// groups.
func (h *controllerHarness) addGroupsAwaitingRecord(name string, job *state.Job, groups, from int) []*state.MachineGroup {
	var all []*state.MachineGroup
	for i := range groups {
		group := h.addGroupWithTasks(fmt.Sprintf("%s-%02d", name, i), job, 2, 2, from+10*i)
		markTasksRecording(group, 4)
		h.inventory.WriteGroup(group, writequeue.PriorityStart)
		all = append(all, group)
	}
	return all
}

// checkGroupsReady checks that every group was stored with its machines, that its tasks
// may start, and that no shard was dropped.
func (h *controllerHarness) checkGroupsReady(t *testing.T, groups []*state.MachineGroup) {
	t.Helper()
	for _, group := range groups {
		record, err := grouprecord.Decode(h.store.keys[group.Key()].Value)
		if err != nil || len(record.Machines) != 2 || h.countWrites(group.Key()) == 0 {
			t.Errorf("%s: %d machines listed, %d writes, %v", group.ID, len(record.Machines), h.countWrites(group.Key()), err)
		}
		for _, machine := range group.SortedMachines() {
			for _, assignment := range machine.SortedAssignments() {
				if assignment.Phase != state.PhaseReady {
					t.Errorf("%s: task %d still waits for its record", group.ID, assignment.Task.Index)
				}
			}
		}
	}
	for _, shard := range h.state.Shards {
		if !shard.Owned {
			t.Errorf("shard %d was dropped", shard.ID)
		}
	}
}

// TestCurrentWriteRateIsUsed checks that the current write rate applies instead of the
// lower one while the store does not throttle it.
func TestCurrentWriteRateIsUsed(t *testing.T) {
	h := newHarnessWithRates(25, 18)
	throttled := h.enforceWriteRate(25)
	h.checkSharedRate(t, 25)
	groups := h.addGroupsAwaitingRecord("g", h.addTestJob("j-1", 1000), 20, 0)
	h.runFor(5 * second)
	h.checkSharedRate(t, 25)
	if *throttled > 0 {
		t.Errorf("%d transactions were throttled, want none", *throttled)
	}
	h.checkGroupsReady(t, groups)
}

// checkSharedRate checks that the controllers share the given write rate, and that this
// one's budget does not exceed it.
func (h *controllerHarness) checkSharedRate(t *testing.T, rate float64) {
	t.Helper()
	if h.writeQueue.SharedWriteRPS() != rate {
		t.Errorf("the controllers share %v writes per second, want %v", h.writeQueue.SharedWriteRPS(), rate)
	}
	if maxRate := rate * h.config.Tuning.RateBudgetShare; h.writeQueue.PutBudget().Rate() > maxRate {
		t.Errorf("this controller may make %v writes per second, want at most %v", h.writeQueue.PutBudget().Rate(), maxRate)
	}
}

// TestThrottledWriteRateLowered checks that the lower write rate applies once the store
// throttles the current one, and that throttled writes are retried.
func TestThrottledWriteRateLowered(t *testing.T) {
	h := newHarnessWithRates(60, 6)
	throttled := h.enforceWriteRate(6)
	job := h.addTestJob("j-1", 2000)
	groups := h.addGroupsAwaitingRecord("g", job, 20, 0)
	h.runFor(15 * second)
	if *throttled == 0 {
		t.Fatal("no transaction was throttled, so the test is inconclusive")
	}
	h.checkSharedRate(t, 6)
	h.checkGroupsReady(t, groups)

	// Writes are also retried if the store then throttles all transactions for a while.
	limited := h.throttles
	throttledAll := 0
	h.throttles = func(messages.StoreTxn) bool { throttledAll++; return true }
	more := h.addGroupsAwaitingRecord("h", job, 5, 500)
	h.runFor(3 * second)
	if throttledAll == 0 {
		t.Fatal("no transaction was throttled the second time, so the test is inconclusive")
	}
	for _, group := range more {
		if h.store.keys[group.Key()].ModRevision != 20 {
			t.Errorf("%s was stored although the store throttled its write", group.ID)
		}
	}
	h.throttles = limited
	h.runFor(15 * second)
	h.checkSharedRate(t, 6)
	h.checkGroupsReady(t, append(groups, more...))
}
