package controller

import (
	"testing"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/ownership"
)

// TestOwnershipLeaseByPeerAcknowledgement: what another controller's word that it knows of no later claim of a
// part is worth, and how long a holder may answer and start by it.
func TestOwnershipLeaseByPeerAcknowledgement(t *testing.T) {
	const heard = 130 * second // the part was proven at 100 s
	for _, x := range []struct {
		name          string
		play          func(b *controllerHarness, q *peer)
		certain       cluster.Time
		held          bool
		entitled, may bool // 8 s later
	}{
		{"every word", func(*controllerHarness, *peer) {}, heard, true, true, false},
		{"none of one", func(_ *controllerHarness, q *peer) { q.acknowledgedCallAt, q.acknowledgedTerms = 0, nil }, 100 * second, true, false, false},
		{"a new run", func(b *controllerHarness, q *peer) {
			b.applyPingReply(q, messages.Ping{InstanceID: "other", KnownTerms: []cluster.Term{1, 1, 1}}, heard)
		}, 100 * second, true, false, false},
		{"a new run, the store read since", func(b *controllerHarness, q *peer) {
			b.applyPingReply(q, messages.Ping{InstanceID: "other", KnownTerms: []cluster.Term{1, 1, 1}}, heard)
			b.recordConfirmation(b.state.Shards[0], 30, heard)
		}, heard, true, true, false},
		{"a new run, another's mark read", func(b *controllerHarness, q *peer) {
			b.applyPingReply(q, messages.Ping{InstanceID: "other", KnownTerms: []cluster.Term{1, 1, 1}}, heard)
			b.recordConfirmation(b.state.Shards[0], 31, heard)
		}, 100 * second, true, false, false},
		{"an older release", func(b *controllerHarness, q *peer) {
			b.applyPingReply(q, messages.Ping{InstanceID: "b-" + string(q.id)}, heard)
		}, 100 * second, true, false, false},
		{"a later term", func(b *controllerHarness, q *peer) {
			b.applyPingReply(q, messages.Ping{InstanceID: "b-" + string(q.id), KnownTerms: []cluster.Term{2, 1, 1}}, heard)
		}, 0, false, false, false},
		{"its own call only", func(b *controllerHarness, q *peer) {
			q.acknowledgedCallAt = 100 * second
			b.applyPing(q, messages.Ping{InstanceID: "b-" + string(q.id), KnownTerms: []cluster.Term{1, 1, 1}})
		}, 100 * second, true, false, false},
	} {
		b := newControllerHarness()
		p := b.state.Shards[0]
		p.ConfirmedAt = 100 * second
		setTime(b.Controller, heard)
		for _, id := range []cluster.NodeID{"n1", "n2"} {
			q := b.peers[id]
			q.instanceID, q.instanceSeenAt = "b-"+string(id), 50*second
			b.applyPingReply(q, messages.Ping{InstanceID: q.instanceID, KnownTerms: []cluster.Term{1, 1, 1}}, heard)
		}
		x.play(b, b.peers["n2"])
		if p.Owned != x.held {
			t.Errorf("%s: held %v", x.name, p.Owned)
			continue
		}
		if !x.held {
			continue
		}
		if at := b.ownershipConfirmedAt(p); at != x.certain {
			t.Errorf("%s: certain as of %d s, want %d s", x.name, at/second, x.certain/second)
		}
		if b.loop.Now() == heard && x.certain == heard && !b.canStartTasks(p) {
			t.Errorf("%s: may not start", x.name)
		}
		setTime(b.Controller, b.loop.Now()+8*second)
		if b.canAnswerWorkers(p) != x.entitled || b.canStartTasks(p) != x.may {
			t.Errorf("%s, 8 s later: entitled %v, may start %v", x.name, b.canAnswerWorkers(p), b.canStartTasks(p))
		}
	}
}

// TestNoStartWithoutConfirmedLease: a holder that has not been certain of its part for a
// while sends no start, but stops all the same.
func TestNoStartWithoutConfirmedLease(t *testing.T) {
	for d, want := range map[cluster.Time]int{second: 1, ownership.StartWindow + second: 0} {
		b := newControllerHarness()
		j := b.addTestJob("j-1", 1)
		m, a := b.addRunningMachine(j)
		a.Phase = state.PhaseReady
		setTime(b.Controller, b.loop.Now()+d)
		if n := len(b.commandsFor(m, false)); n != want {
			t.Errorf("%d s after the last proof: %d starts", d/second, n)
		}
	}
}

// TestOwnershipConfirmedByStoreReads: while one controller gives no word and the store serves, the
// mark is read again and again, and the holder stays entitled.
func TestOwnershipConfirmedByStoreReads(t *testing.T) {
	b := newControllerHarness()
	p := b.state.Shards[0]
	b.runFor(b.config.CancelDeadline)
	if d := b.loop.Now() - p.ConfirmedAt; d > 4*second || !b.canAnswerWorkers(p) || !b.canStartTasks(p) {
		t.Errorf("last proven %d s ago: entitled %v, may start %v", d/second, b.canAnswerWorkers(p), b.canStartTasks(p))
	}
}
