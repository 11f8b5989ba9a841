package core

import "testing"

// TestSplitRefused: the limit in force is far below the one known, so that the
// two halves of a record are refused as well. It is split further, and what it
// was to be written for is stored in the end.
func TestSplitRefused(t *testing.T) {
	b := newCoreHarness()
	b.timers = timerQueue{}
	const limit = 1000
	b.refuseLonger(limit)
	j := b.job("j-1", 20_000)
	g := b.filled("large", j, 45, 3, 0)
	var m *machine
	for _, x := range g.list() {
		m = x
	}
	a := &assign{task: TaskID{Job: "j-1", Index: 15_000}, job: j, need: j.spec.Need, mach: m.id, attempt: 15_000, phase: aRecording}
	m.addAssign(a)
	j.setPlaced(15_000, a)
	b.writeMachine(m, prioStart)
	b.play(30 * second)
	n, longest := b.listed(t)
	if len(n) != 45 || longest > limit || a.phase == aRecording {
		t.Errorf("after %d transactions %d of 45 machines are listed, the longest record has %d bytes, the start waits for its record: %v",
			len(b.txns), len(n), longest, a.phase == aRecording)
	}
}
