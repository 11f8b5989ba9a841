package controller

import (
	"testing"

	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// markTasksRecording makes the first count tasks of a group's machines wait for the
// group's record.
func markTasksRecording(group *state.MachineGroup, count int) {
	for _, machine := range group.SortedMachines() {
		for _, assignment := range machine.SortedAssignments() {
			if count > 0 {
				assignment.Phase, count = state.PhaseRecording, count-1
			}
		}
	}
}

// countWrites returns how many operations on a key the transactions sent so far contain,
// including rejected and throttled transactions.
func (h *controllerHarness) countWrites(key string) int {
	count := 0
	for _, transaction := range h.sentTransactions {
		for _, operation := range transaction.Then {
			if operation.Key == key {
				count++
			}
		}
	}
	return count
}

// limitPutRate limits the puts to rate per second, with a burst of one and an empty budget
// at the start.
func (h *controllerHarness) limitPutRate(rate float64) {
	dropTimers(h.Controller) // so that the controller doesn't recompute the rate
	h.writeQueue.PutBudget().SetRate(rate, 1)
	h.writeQueue.PutBudget().Refill(h.loop.Now())
	h.writeQueue.PutBudget().LowerTo(0)
}

// TestRecordWithMostWaitingCPUsWrittenFirst checks that a record whose waiting starts
// need more CPUs is written before one queued earlier, and that both are written.
func TestRecordWithMostWaitingCPUsWrittenFirst(t *testing.T) {
	h := newControllerHarness()
	job := h.addTestJob("j-1", 1000)
	few, many := h.addGroupWithTasks("few", job, 3, 2, 0), h.addGroupWithTasks("many", job, 3, 2, 100)
	markTasksRecording(few, 1)
	markTasksRecording(many, 6)
	h.limitPutRate(0.5)
	h.inventory.WriteGroup(few, writequeue.PriorityStart)
	setTime(h.Controller, h.loop.Now()+second/2)
	h.inventory.WriteGroup(many, writequeue.PriorityStart)
	h.runFor(second * 5 / 2)
	if fewWrites, manyWrites := h.countWrites(few.Key()), h.countWrites(many.Key()); fewWrites != 0 || manyWrites != 1 {
		t.Fatalf("after the first put the record with one start was written %d times and that with six %d times, want 0 and 1", fewWrites, manyWrites)
	}
	h.runFor(2 * second)
	if fewWrites := h.countWrites(few.Key()); fewWrites != 1 {
		t.Errorf("the record with one start was written %d times, want 1", fewWrites)
	}
}

// TestRaisedTokenWrittenBeforeStarts checks that a record that raises a token is written
// before one with more waiting starts. Otherwise the machine's worker lease might expire.
func TestRaisedTokenWrittenBeforeStarts(t *testing.T) {
	h := newControllerHarness()
	job := h.addTestJob("j-1", 1000)
	starts, raised := h.addGroupWithTasks("starts", job, 4, 2, 0), h.addGroupWithTasks("raised", job, 1, 2, 100)
	markTasksRecording(starts, 8)
	h.limitPutRate(0.5)
	h.inventory.WriteGroup(starts, writequeue.PriorityStart)
	h.inventory.RaiseToken(raised.SortedMachines()[0])
	h.runFor(second * 5 / 2)
	if startWrites, raisedWrites := h.countWrites(starts.Key()), h.countWrites(raised.Key()); startWrites != 0 || raisedWrites != 1 {
		t.Errorf("after the first put the record with eight starts was written %d times and that with the raised token %d times, want 0 and 1", startWrites, raisedWrites)
	}
}

// TestRecordWithFewStartsNotStarved checks that a record with one waiting start is
// written although another record always has more.
func TestRecordWithFewStartsNotStarved(t *testing.T) {
	h := newControllerHarness()
	job := h.addTestJob("j-1", 1000)
	few, many := h.addGroupWithTasks("few", job, 3, 2, 0), h.addGroupWithTasks("many", job, 3, 2, 100)
	markTasksRecording(few, 1)
	h.limitPutRate(1)
	h.inventory.WriteGroup(few, writequeue.PriorityStart)
	for range 8 {
		markTasksRecording(many, 6)
		h.inventory.WriteGroup(many, writequeue.PriorityStart)
		h.runFor(second)
	}
	if fewWrites, manyWrites := h.countWrites(few.Key()), h.countWrites(many.Key()); fewWrites != 1 || manyWrites < 5 {
		t.Errorf("the record with one start was written %d times and that with more starts %d times, want 1 and at least 5", fewWrites, manyWrites)
	}
}
