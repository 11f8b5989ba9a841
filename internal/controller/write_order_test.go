package controller

import (
	"testing"

	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// markTasksRecording makes the first tasks of a group's machines wait for its record.
func markTasksRecording(group *state.MachineGroup, count int) {
	for _, machine := range group.SortedMachines() {
		for _, assignment := range machine.SortedAssignments() {
			if count > 0 {
				assignment.Phase, count = state.PhaseRecording, count-1
			}
		}
	}
}

// countWrites is how many of the transactions so far write a key.
func (b *controllerHarness) countWrites(key string) int {
	count := 0
	for _, transaction := range b.sentTransactions {
		for _, operation := range transaction.Then {
			if operation.Key == key {
				count++
			}
		}
	}
	return count
}

// limitPutRate leaves the given number of puts a second and no more at once.
func (b *controllerHarness) limitPutRate(rate float64) {
	dropTimers(b.Controller) // no new division of the rate
	b.writeQueue.PutBudget().SetRate(rate, 1)
	b.writeQueue.PutBudget().Refill(b.loop.Now())
	b.writeQueue.PutBudget().LowerTo(0)
}

// TestMostWaitingCPUsAreRecordedFirst: of two records of which the one with
// less to start was queued first, the other is written first; both are written.
func TestMostWaitingCPUsAreRecordedFirst(t *testing.T) {
	b := newControllerHarness()
	job := b.addTestJob("j-1", 1000)
	few, many := b.addGroupWithTasks("few", job, 3, 2, 0), b.addGroupWithTasks("many", job, 3, 2, 100)
	markTasksRecording(few, 1)
	markTasksRecording(many, 6)
	b.limitPutRate(0.5)
	b.inventory.WriteGroup(few, writequeue.PriorityStart)
	setTime(b.Controller, b.loop.Now()+second/2)
	b.inventory.WriteGroup(many, writequeue.PriorityStart)
	b.runFor(second * 5 / 2)
	if fewWrites, manyWrites := b.countWrites(few.Key()), b.countWrites(many.Key()); fewWrites != 0 || manyWrites != 1 {
		t.Fatalf("after the first put the record with one start was written %d times, that with six %d times", fewWrites, manyWrites)
	}
	b.runFor(2 * second)
	if fewWrites := b.countWrites(few.Key()); fewWrites != 1 {
		t.Errorf("the record with one start was written %d times", fewWrites)
	}
}

// TestRaisedTokenIsRecordedBeforeStarts: a machine whose token is to be raised
// counts more than its size, as the leases of its tasks run on.
func TestRaisedTokenIsRecordedBeforeStarts(t *testing.T) {
	b := newControllerHarness()
	job := b.addTestJob("j-1", 1000)
	starts, raised := b.addGroupWithTasks("starts", job, 4, 2, 0), b.addGroupWithTasks("raised", job, 1, 2, 100)
	markTasksRecording(starts, 8)
	b.limitPutRate(0.5)
	b.inventory.WriteGroup(starts, writequeue.PriorityStart)
	b.inventory.RaiseToken(raised.SortedMachines()[0])
	b.runFor(second * 5 / 2)
	if startWrites, raisedWrites := b.countWrites(starts.Key()), b.countWrites(raised.Key()); startWrites != 0 || raisedWrites != 1 {
		t.Errorf("after the first put the record with eight starts was written %d times, that of the raised token %d times", startWrites, raisedWrites)
	}
}

// TestLittleWaitingIsRecordedInTime: a record with one start is written though
// another has more to start each time that it was written.
func TestLittleWaitingIsRecordedInTime(t *testing.T) {
	b := newControllerHarness()
	job := b.addTestJob("j-1", 1000)
	few, many := b.addGroupWithTasks("few", job, 3, 2, 0), b.addGroupWithTasks("many", job, 3, 2, 100)
	markTasksRecording(few, 1)
	b.limitPutRate(1)
	b.inventory.WriteGroup(few, writequeue.PriorityStart)
	for range 8 {
		markTasksRecording(many, 6)
		b.inventory.WriteGroup(many, writequeue.PriorityStart)
		b.runFor(second)
	}
	if fewWrites, manyWrites := b.countWrites(few.Key()), b.countWrites(many.Key()); fewWrites != 1 || manyWrites < 5 {
		t.Errorf("the record with one start was written %d times, that with more to start %d times", fewWrites, manyWrites)
	}
}
