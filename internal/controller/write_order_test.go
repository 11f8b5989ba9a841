package controller

import (
	"testing"

	"stairrelay/internal/state"

	"stairrelay/internal/writequeue"
)

// markTasksRecording makes the first tasks of a group's machines wait for its record.
func markTasksRecording(g *state.MachineGroup, n int) {
	for _, m := range g.SortedMachines() {
		for _, a := range m.SortedAssignments() {
			if n > 0 {
				a.Phase, n = state.PhaseRecording, n-1
			}
		}
	}
}

// countWrites is how many of the transactions so far write a key.
func (b *controllerHarness) countWrites(key string) int {
	n := 0
	for _, x := range b.sentTransactions {
		for _, o := range x.Then {
			if o.Key == key {
				n++
			}
		}
	}
	return n
}

// limitPutRate leaves the given number of puts a second and no more at once.
func (b *controllerHarness) limitPutRate(rate float64) {
	dropTimers(b.Controller) // no new division of the rate
	b.writeQueue.PutBudget().SetRate(rate, 1)
	b.writeQueue.PutBudget().Refill(b.loop.Now())
	b.writeQueue.PutBudget().Lower(0)
}

// TestMostWaitingCPUsAreRecordedFirst: of two records of which the one with
// less to start was queued first, the other is written first; both are written.
func TestMostWaitingCPUsAreRecordedFirst(t *testing.T) {
	b := newControllerHarness()
	j := b.addTestJob("j-1", 1000)
	few, many := b.addGroupWithTasks("few", j, 3, 2, 0), b.addGroupWithTasks("many", j, 3, 2, 100)
	markTasksRecording(few, 1)
	markTasksRecording(many, 6)
	b.limitPutRate(0.5)
	b.inventory.WriteGroup(few, writequeue.Start)
	setTime(b.Controller, b.loop.Now()+second/2)
	b.inventory.WriteGroup(many, writequeue.Start)
	b.runFor(second * 5 / 2)
	if f, m := b.countWrites(few.Key()), b.countWrites(many.Key()); f != 0 || m != 1 {
		t.Fatalf("after the first put the record with one start was written %d times, that with six %d times", f, m)
	}
	b.runFor(2 * second)
	if f := b.countWrites(few.Key()); f != 1 {
		t.Errorf("the record with one start was written %d times", f)
	}
}

// TestRaisedTokenIsRecordedBeforeStarts: a machine whose token is to be raised
// counts more than its size, as the leases of its tasks run on.
func TestRaisedTokenIsRecordedBeforeStarts(t *testing.T) {
	b := newControllerHarness()
	j := b.addTestJob("j-1", 1000)
	starts, bumped := b.addGroupWithTasks("starts", j, 4, 2, 0), b.addGroupWithTasks("bumped", j, 1, 2, 100)
	markTasksRecording(starts, 8)
	b.limitPutRate(0.5)
	b.inventory.WriteGroup(starts, writequeue.Start)
	b.inventory.RaiseToken(bumped.SortedMachines()[0])
	b.runFor(second * 5 / 2)
	if s, r := b.countWrites(starts.Key()), b.countWrites(bumped.Key()); s != 0 || r != 1 {
		t.Errorf("after the first put the record with eight starts was written %d times, that of the raised token %d times", s, r)
	}
}

// TestLittleWaitingIsRecordedInTime: a record with one start is written though
// another has more to start each time that it was written.
func TestLittleWaitingIsRecordedInTime(t *testing.T) {
	b := newControllerHarness()
	j := b.addTestJob("j-1", 1000)
	few, many := b.addGroupWithTasks("few", j, 3, 2, 0), b.addGroupWithTasks("many", j, 3, 2, 100)
	markTasksRecording(few, 1)
	b.limitPutRate(1)
	b.inventory.WriteGroup(few, writequeue.Start)
	for range 8 {
		markTasksRecording(many, 6)
		b.inventory.WriteGroup(many, writequeue.Start)
		b.runFor(second)
	}
	if f, m := b.countWrites(few.Key()), b.countWrites(many.Key()); f != 1 || m < 5 {
		t.Errorf("the record with one start was written %d times, that with more to start %d times", f, m)
	}
}
