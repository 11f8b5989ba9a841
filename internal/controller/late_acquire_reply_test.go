package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// acknowledgeTerm delivers a peer's reply to a ping that was sent now. The reply contains
// term as the latest term of shard 0 that the peer knows. The harness must be from
// newHarnessWithKnownPeers.
func acknowledgeTerm(h *controllerHarness, id cluster.NodeID, term cluster.Term) {
	ping := &messages.Ping{InstanceID: peerInstanceID(id), KnownTerms: []cluster.Term{term, 1, 1}}
	h.members.HandlePingReply(h.members.Peer(id), ping, h.loop.Now())
}

// sendAcquire makes the controller send the acquisition of shard 0 and returns the
// transaction without replying to it.
func sendAcquire(t *testing.T, h *controllerHarness) messages.StoreTxn {
	t.Helper()
	shard := h.state.Shards[0]
	shard.Owned, shard.Ready, shard.ConfirmedAt = false, false, 0
	h.ownership.Acquire(shard)
	h.writeQueue.Dispatch()
	for _, effect := range h.loop.Effects() {
		if acquire, ok := effect.(messages.StoreTxn); ok {
			return acquire
		}
	}
	t.Fatal("no acquisition was sent")
	return messages.StoreTxn{}
}

// TestLaterTermSeenBeforeAcquireReply checks that a ping reply with a later term does not
// confirm an acquisition to which the store has not replied yet.
func TestLaterTermSeenBeforeAcquireReply(t *testing.T) {
	const ownTerm = 2
	for _, test := range []struct {
		name         string
		peerTerm     cluster.Term
		acknowledged bool
	}{
		{"the peer knows of no later claim", ownTerm, true},
		{"the peer has acquired the shard since", ownTerm + 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarnessWithKnownPeers()
			shard := h.state.Shards[0]
			acquire := sendAcquire(t, h)
			acquireSentAt := h.loop.Now()

			setTime(h.Controller, h.loop.Now()+3*second)
			pingSentAt := h.loop.Now()
			acknowledgeTerm(h, "n1", test.peerTerm)
			acknowledgeTerm(h, "n2", ownTerm)

			setTime(h.Controller, h.loop.Now()+second)
			h.loop.Deliver(messages.Reply{Call: acquire.Call, Body: messages.TxnReply{Outcome: messages.OK, Revision: 40}})
			if !shard.Owned || shard.Term != ownTerm {
				t.Fatalf("owned %v, term %d; want the shard owned with term %d", shard.Owned, shard.Term, ownTerm)
			}
			want := acquireSentAt
			if test.acknowledged {
				want = pingSentAt
			}
			if got := h.ownership.LastConfirmedAt(shard); got != want {
				t.Errorf("last confirmed at %d s, want %d s", got/second, want/second)
			}
		})
	}
}
