package controller

import (
	"testing"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"

	"stairrelay/internal/ownership"
)

// TestOwnershipLeaseByPeerAcknowledgement: what another controller's word that it knows of no later claim of a
// part is worth, and how long a holder may answer and start by it.
func TestOwnershipLeaseByPeerAcknowledgement(t *testing.T) {
	const heard = 130 * second // the part was proven at 100 s
	for _, x := range []struct {
		name          string
		answered      cluster.Time // when the last ping was sent that n2 has answered; 0: none was
		play          func(b *controllerHarness, n2 *membership.Peer)
		certain       cluster.Time
		held          bool
		entitled, may bool // 8 s later
	}{
		{"every word", heard, func(*controllerHarness, *membership.Peer) {}, heard, true, true, false},
		{"none of one", 0, func(*controllerHarness, *membership.Peer) {}, 100 * second, true, false, false},
		{"a new run", heard, func(b *controllerHarness, n2 *membership.Peer) {
			b.members.HandlePingReply(n2, &messages.Ping{InstanceID: "other", KnownTerms: []cluster.Term{1, 1, 1}}, heard)
		}, 100 * second, true, false, false},
		{"a new run, the store read since", heard, func(b *controllerHarness, n2 *membership.Peer) {
			b.members.HandlePingReply(n2, &messages.Ping{InstanceID: "other", KnownTerms: []cluster.Term{1, 1, 1}}, heard)
			b.ownership.RecordConfirmation(b.state.Shards[0], 30, heard)
		}, heard, true, true, false},
		{"a new run, another's mark read", heard, func(b *controllerHarness, n2 *membership.Peer) {
			b.members.HandlePingReply(n2, &messages.Ping{InstanceID: "other", KnownTerms: []cluster.Term{1, 1, 1}}, heard)
			b.ownership.RecordConfirmation(b.state.Shards[0], 31, heard)
		}, 100 * second, true, false, false},
		{"an older release", heard, func(b *controllerHarness, n2 *membership.Peer) {
			b.members.HandlePingReply(n2, &messages.Ping{InstanceID: knownInstance("n2")}, heard)
		}, 100 * second, true, false, false},
		{"a later term", heard, func(b *controllerHarness, n2 *membership.Peer) {
			b.members.HandlePingReply(n2, &messages.Ping{InstanceID: knownInstance("n2"), KnownTerms: []cluster.Term{2, 1, 1}}, heard)
		}, 0, false, false, false},
		{"its own call only", 100 * second, func(b *controllerHarness, n2 *membership.Peer) {
			b.receivePing(n2, &messages.Ping{InstanceID: knownInstance("n2"), KnownTerms: []cluster.Term{1, 1, 1}})
		}, 100 * second, true, false, false},
	} {
		b := newHarnessWithKnownPeers()
		p := b.state.Shards[0]
		p.ConfirmedAt = 100 * second
		setTime(b.Controller, heard)
		for id, answered := range map[cluster.NodeID]cluster.Time{"n1": heard, "n2": x.answered} {
			if answered > 0 {
				ping := &messages.Ping{InstanceID: knownInstance(id), KnownTerms: []cluster.Term{1, 1, 1}}
				b.members.HandlePingReply(b.members.Peer(id), ping, answered)
			}
		}
		x.play(b, b.members.Peer("n2"))
		if p.Owned != x.held {
			t.Errorf("%s: held %v", x.name, p.Owned)
			continue
		}
		if !x.held {
			continue
		}
		if at := b.ownership.LastConfirmedAt(p); at != x.certain {
			t.Errorf("%s: certain as of %d s, want %d s", x.name, at/second, x.certain/second)
		}
		if b.loop.Now() == heard && x.certain == heard && !b.ownership.CanStartTasks(p) {
			t.Errorf("%s: may not start", x.name)
		}
		setTime(b.Controller, b.loop.Now()+8*second)
		if b.ownership.CanAnswerWorkers(p) != x.entitled || b.ownership.CanStartTasks(p) != x.may {
			t.Errorf("%s, 8 s later: entitled %v, may start %v", x.name, b.ownership.CanAnswerWorkers(p), b.ownership.CanStartTasks(p))
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
		if n := len(b.reconciler.Commands.For(m, false)); n != want {
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
	if d := b.loop.Now() - p.ConfirmedAt; d > 4*second || !b.ownership.CanAnswerWorkers(p) || !b.ownership.CanStartTasks(p) {
		t.Errorf("last proven %d s ago: entitled %v, may start %v", d/second, b.ownership.CanAnswerWorkers(p), b.ownership.CanStartTasks(p))
	}
}
