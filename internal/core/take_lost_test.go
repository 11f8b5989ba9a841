package core

import (
	"testing"

	"stairrelay/internal/grouprecord"
)

// TestTakeLostWithItsPart: this controller holds two parts, and one takes idle
// machines of the other. Before the store has answered, the taking part is
// claimed by another controller. The machines stay with the part that offered
// them: forgotten at the taking, they were listed by a record of a part held
// here and by nothing in its books, so that their workers were answered 503 and
// got no work until that part changed hands.
func TestTakeLostWithItsPart(t *testing.T) {
	b := newCoreHarness()
	giver, taker := b.parts[0], b.parts[1]
	kind := grouprecord.Kind{Type: "small", Zone: "a"}
	b.enlist(giver, []grouprecord.Machine{{ID: "m-1", Kind: kind, Address: "m-1"}}, func() {})
	b.play(100 * milli)
	g := b.groups[sortedKeys(b.groups)[0]]
	g.offer = &groupOffer{to: taker.id, until: b.now + 5*second}
	b.store.epoch++
	b.store.keys[taker.key()] = KV{taker.key(), []byte(`{"holder":"n1","term":2,"w":"b1-1"}`), Mark(b.store.epoch)}
	b.takeGroup(taker, g.key(), g.mark)
	b.play(200 * milli)

	if taker.held {
		t.Fatal("the loss of the taking part went unnoticed")
	}
	m := b.machines["m-1"]
	if m == nil || m.part != giver.id || b.groups[g.id] != g {
		t.Fatal("the machine is in no book though its record lists it for a part held here")
	}
	if g.writing || g.sent {
		t.Error("the group still counts as being written")
	}
	b.writeMachine(m, prioStart)
	b.play(200 * milli)
	if kv := b.store.get(g.key()).KV; g.mark != kv.Mark || g.mark <= 31 {
		t.Errorf("its record can't be written any more: mark %d, stored %d", g.mark, kv.Mark)
	}
}
