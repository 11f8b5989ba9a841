package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// answerProbe lets a peer of newHarnessWithKnownPeers answer a ping that was sent now
// with the latest term that it knows of shard 0.
func answerProbe(b *controllerHarness, id cluster.NodeID, term cluster.Term) {
	ping := &messages.Ping{InstanceID: peerInstanceID(id), KnownTerms: []cluster.Term{term, 1, 1}}
	b.members.HandlePingReply(b.members.Peer(id), ping, b.loop.Now())
}

// sendAcquire makes the controller acquire shard 0 and returns the transaction, which
// has no answer yet.
func sendAcquire(t *testing.T, b *controllerHarness) messages.StoreTxn {
	t.Helper()
	shard := b.state.Shards[0]
	shard.Owned, shard.Ready, shard.ConfirmedAt = false, false, 0
	b.ownership.Acquire(shard)
	b.writeQueue.Dispatch()
	for _, effect := range b.loop.Effects() {
		if acquire, ok := effect.(messages.StoreTxn); ok {
			return acquire
		}
	}
	t.Fatal("no acquire was sent")
	return messages.StoreTxn{}
}

// TestLaterTermSeenBeforeAcquireReply: the state service carries out an acquire, and
// the answer is late. Meanwhile a peer acquires the shard in its turn and answers a
// ping with its later term. The acquire's answer then makes this controller an owner
// that was deposed already: ownership.Manager.ApplyPing ignored the later term, as the
// shard was not owned yet, so nothing but the comparison of terms in
// Acknowledgement.covers keeps that peer's answer from counting as its acknowledgement
// that there is no later claim.
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
			b := newHarnessWithKnownPeers()
			shard := b.state.Shards[0]
			acquire := sendAcquire(t, b)
			sentAt := b.loop.Now()

			setTime(b.Controller, b.loop.Now()+3*second)
			answeredAt := b.loop.Now()
			answerProbe(b, "n1", test.peerTerm)
			answerProbe(b, "n2", ownTerm)

			setTime(b.Controller, b.loop.Now()+second)
			b.loop.Deliver(messages.Reply{Call: acquire.Call, Body: messages.TxnReply{Outcome: messages.OK, Revision: 40}})
			if !shard.Owned || shard.Term != ownTerm {
				t.Fatalf("owned %v, term %d; want the shard owned with term %d", shard.Owned, shard.Term, ownTerm)
			}
			want := sentAt
			if test.acknowledged {
				want = answeredAt
			}
			if got := b.ownership.LastConfirmedAt(shard); got != want {
				t.Errorf("confirmed as of %d s, want %d s", got/second, want/second)
			}
		})
	}
}
