package core

import (
	"testing"

	"stairrelay/internal/entitlement"
)

// TestWord: what another controller's word that it knows of no later claim of a
// part is worth, and how long a holder may answer and start by it.
func TestWord(t *testing.T) {
	const heard = 130 * second // the part was proven at 100 s
	for _, x := range []struct {
		name          string
		play          func(b *coreHarness, q *peer)
		certain       Time
		held          bool
		entitled, may bool // 8 s later
	}{
		{"every word", func(*coreHarness, *peer) {}, heard, true, true, false},
		{"none of one", func(_ *coreHarness, q *peer) { q.wordAt, q.terms = 0, nil }, 100 * second, true, false, false},
		{"a new run", func(b *coreHarness, q *peer) { b.heardPing(q, Ping{Boot: "other", Terms: []Term{1, 1, 1}}, heard) }, 100 * second, true, false, false},
		{"a new run, the store read since", func(b *coreHarness, q *peer) {
			b.heardPing(q, Ping{Boot: "other", Terms: []Term{1, 1, 1}}, heard)
			b.proven(b.parts[0], 30, heard)
		}, heard, true, true, false},
		{"a new run, another's mark read", func(b *coreHarness, q *peer) {
			b.heardPing(q, Ping{Boot: "other", Terms: []Term{1, 1, 1}}, heard)
			b.proven(b.parts[0], 31, heard)
		}, 100 * second, true, false, false},
		{"an older release", func(b *coreHarness, q *peer) { b.heardPing(q, Ping{Boot: "b-" + string(q.id)}, heard) }, 100 * second, true, false, false},
		{"a later term", func(b *coreHarness, q *peer) {
			b.heardPing(q, Ping{Boot: "b-" + string(q.id), Terms: []Term{2, 1, 1}}, heard)
		}, 0, false, false, false},
		{"its own call only", func(b *coreHarness, q *peer) {
			q.wordAt = 100 * second
			b.takePing(q, Ping{Boot: "b-" + string(q.id), Terms: []Term{1, 1, 1}})
		}, 100 * second, true, false, false},
	} {
		b := newCoreHarness()
		p := b.parts[0]
		p.provenAt = 100 * second
		b.now = heard
		for _, id := range []NodeID{"n1", "n2"} {
			q := b.peers[id]
			q.boot, q.bootAt = "b-"+string(id), 50*second
			b.heardPing(q, Ping{Boot: q.boot, Terms: []Term{1, 1, 1}}, heard)
		}
		x.play(b, b.peers["n2"])
		if p.held != x.held {
			t.Errorf("%s: held %v", x.name, p.held)
			continue
		}
		if !x.held {
			continue
		}
		if at := b.certainAt(p); at != x.certain {
			t.Errorf("%s: certain as of %d s, want %d s", x.name, at/second, x.certain/second)
		}
		if b.now == heard && x.certain == heard && !b.mayStart(p) {
			t.Errorf("%s: may not start", x.name)
		}
		b.now += 8 * second
		if b.entitled(p) != x.entitled || b.mayStart(p) != x.may {
			t.Errorf("%s, 8 s later: entitled %v, may start %v", x.name, b.entitled(p), b.mayStart(p))
		}
	}
}

// TestNoStartUncertain: a holder that has not been certain of its part for a
// while sends no start, but stops all the same.
func TestNoStartUncertain(t *testing.T) {
	for d, want := range map[Time]int{second: 1, entitlement.StartBound + second: 0} {
		b := newCoreHarness()
		j := b.job("j-1", 1)
		m, a := b.running(j)
		a.phase = aReady
		b.now += d
		if n := len(b.commands(m, false)); n != want {
			t.Errorf("%d s after the last proof: %d starts", d/second, n)
		}
	}
}

// TestClaimProven: while one controller gives no word and the store serves, the
// mark is read again and again, and the holder stays entitled.
func TestClaimProven(t *testing.T) {
	b := newCoreHarness()
	p := b.parts[0]
	b.play(b.cfg.CancelWithin)
	if d := b.now - p.provenAt; d > 4*second || !b.entitled(p) || !b.mayStart(p) {
		t.Errorf("last proven %d s ago: entitled %v, may start %v", d/second, b.entitled(p), b.mayStart(p))
	}
}
