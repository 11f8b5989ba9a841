package core

import "testing"

// recordingTasks makes the first tasks of a group's machines wait for its record.
func recordingTasks(g *group, n int) {
	for _, m := range g.list() {
		for _, a := range m.sorted() {
			if n > 0 {
				a.phase, n = aRecording, n-1
			}
		}
	}
}

// writesOf is how many of the transactions so far write a key.
func (b *coreHarness) writesOf(key string) int {
	n := 0
	for _, x := range b.txns {
		for _, o := range x.Then {
			if o.Key == key {
				n++
			}
		}
	}
	return n
}

// scarcePuts leaves the given number of puts a second and no more at once.
func (b *coreHarness) scarcePuts(rate float64) {
	b.timers = timerQueue{} // no new division of the rate
	b.writer.puts.SetRate(rate, 1)
	b.writer.puts.Refill(b.now)
	b.writer.puts.Lower(0)
}

// TestMostWaitingCPUsAreRecordedFirst: of two records of which the one with
// less to start was queued first, the other is written first; both are written.
func TestMostWaitingCPUsAreRecordedFirst(t *testing.T) {
	b := newCoreHarness()
	j := b.job("j-1", 1000)
	few, many := b.filled("few", j, 3, 2, 0), b.filled("many", j, 3, 2, 100)
	recordingTasks(few, 1)
	recordingTasks(many, 6)
	b.scarcePuts(0.5)
	b.writeGroup(few, prioStart)
	b.now += second / 2
	b.writeGroup(many, prioStart)
	b.play(second * 5 / 2)
	if f, m := b.writesOf(few.key()), b.writesOf(many.key()); f != 0 || m != 1 {
		t.Fatalf("after the first put the record with one start was written %d times, that with six %d times", f, m)
	}
	b.play(2 * second)
	if f := b.writesOf(few.key()); f != 1 {
		t.Errorf("the record with one start was written %d times", f)
	}
}

// TestRaisedTokenIsRecordedBeforeStarts: a machine whose token is to be raised
// counts more than its size, as the leases of its tasks run on.
func TestRaisedTokenIsRecordedBeforeStarts(t *testing.T) {
	b := newCoreHarness()
	j := b.job("j-1", 1000)
	starts, bumped := b.filled("starts", j, 4, 2, 0), b.filled("bumped", j, 1, 2, 100)
	recordingTasks(starts, 8)
	b.scarcePuts(0.5)
	b.writeGroup(starts, prioStart)
	b.bump(bumped.list()[0])
	b.play(second * 5 / 2)
	if s, r := b.writesOf(starts.key()), b.writesOf(bumped.key()); s != 0 || r != 1 {
		t.Errorf("after the first put the record with eight starts was written %d times, that of the raised token %d times", s, r)
	}
}

// TestLittleWaitingIsRecordedInTime: a record with one start is written though
// another has more to start each time that it was written.
func TestLittleWaitingIsRecordedInTime(t *testing.T) {
	b := newCoreHarness()
	j := b.job("j-1", 1000)
	few, many := b.filled("few", j, 3, 2, 0), b.filled("many", j, 3, 2, 100)
	recordingTasks(few, 1)
	b.scarcePuts(1)
	b.writeGroup(few, prioStart)
	for range 8 {
		recordingTasks(many, 6)
		b.writeGroup(many, prioStart)
		b.play(second)
	}
	if f, m := b.writesOf(few.key()), b.writesOf(many.key()); f != 1 || m < 5 {
		t.Errorf("the record with one start was written %d times, that with more to start %d times", f, m)
	}
}
