package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// answerProbe lets a peer of newHarnessWithKnownPeers answer a ping that was sent now
// with the latest term that it knows of shard 0.
func answerProbe(b *controllerHarness, id cluster.NodeID, term cluster.Term) {
	ping := &messages.Ping{InstanceID: knownInstance(id), KnownTerms: []cluster.Term{term, 1, 1}}
	b.members.HandlePingReply(b.members.Peer(id), ping, b.loop.Now())
}

// sendAcquire makes the controller claim part 0 and returns the transaction, which
// has no answer yet.
func sendAcquire(t *testing.T, b *controllerHarness) messages.StoreTxn {
	t.Helper()
	part := b.state.Shards[0]
	part.Owned, part.Ready, part.ConfirmedAt = false, false, 0
	b.ownership.Acquire(part)
	b.writeQueue.Dispatch()
	for _, effect := range b.loop.Effects() {
		if claim, ok := effect.(messages.StoreTxn); ok {
			return claim
		}
	}
	t.Fatal("no claim was sent")
	return messages.StoreTxn{}
}

// TestLaterTermSeenBeforeAcquireReply: the store carries out a claim, and the
// answer is late. Meanwhile a peer claims the part in its turn and answers a call
// with its later term. The claim's answer then makes this controller a holder
// that has been succeeded already: hearTerms ignored the later term, as the part
// was not held yet, so nothing but the comparison of terms in wordOn keeps that
// peer's answer from counting as its word that there is no later claim.
func TestLaterTermSeenBeforeAcquireReply(t *testing.T) {
	const ownTerm = 2
	for _, test := range []struct {
		name     string
		heard    cluster.Term
		wordHeld bool
	}{
		{"the peer knows of no later claim", ownTerm, true},
		{"the peer has claimed the part since", ownTerm + 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarnessWithKnownPeers()
			part := b.state.Shards[0]
			claim := sendAcquire(t, b)
			sent := b.loop.Now()

			setTime(b.Controller, b.loop.Now()+3*second)
			heard := b.loop.Now()
			answerProbe(b, "n1", test.heard)
			answerProbe(b, "n2", ownTerm)

			setTime(b.Controller, b.loop.Now()+second)
			b.loop.Deliver(messages.Reply{Call: claim.Call, Body: messages.TxnReply{Outcome: messages.OK, Revision: 40}})
			if !part.Owned || part.Term != ownTerm {
				t.Fatalf("held %v, term %d; want the part held with term %d", part.Owned, part.Term, ownTerm)
			}
			want := sent
			if test.wordHeld {
				want = heard
			}
			if got := b.ownership.LastConfirmedAt(part); got != want {
				t.Errorf("certain as of %d s, want %d s", got/second, want/second)
			}
		})
	}
}
