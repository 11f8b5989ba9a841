package core

import "testing"

// TestRecordCheckEnds: another writer has changed a group's record, and tasks
// keep coming and going on its machines. The check that follows the first
// conflict has to come to its conclusion, which is to give the part up and read
// it anew. Writes that were queued while it read conflicted in their turn, each
// was followed by another check, and none of them concluded anything: the
// group's tasks waited for their record for good, at three requests a round.
func TestRecordCheckEnds(t *testing.T) {
	b := newCoreHarness()
	m, _ := b.running(b.job("j-1", 1))
	part := b.parts[0]
	key := m.group.key()
	b.writeMachine(m, prioStart)
	m.group.mark = 0 // as the store has none yet
	b.play(100 * milli)
	kv := b.store.get(key).KV
	kv.Mark++
	b.store.epoch = Epoch(kv.Mark)
	b.store.keys[key] = kv // the same, by another hand

	sent := len(b.txns)
	for range 50 {
		b.writeMachine(m, prioStart)
		b.play(0) // one round of answers
	}
	if part.breaks == 0 {
		t.Errorf("no conclusion after %d refused writes", len(b.txns)-sent)
	}
}
