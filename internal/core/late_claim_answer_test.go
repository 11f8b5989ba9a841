package core

import "testing"

// answerPing lets a peer, whose present run has been known for long, answer a
// call that was sent now with the latest term that it knows of part 0.
func answerPing(b *coreHarness, id NodeID, term Term) {
	peer := b.peers[id]
	peer.boot, peer.bootAt = "boot-"+string(id), 50*second
	b.heardPing(peer, Ping{Boot: peer.boot, Terms: []Term{term, 1, 1}}, b.now)
}

// sendClaim makes the controller claim part 0 and returns the transaction, which
// has no answer yet.
func sendClaim(t *testing.T, b *coreHarness) StoreTxn {
	t.Helper()
	part := b.parts[0]
	part.held, part.ready, part.provenAt = false, false, 0
	b.claimPart(part)
	b.writer.pump()
	for _, effect := range b.out {
		if claim, ok := effect.(StoreTxn); ok {
			return claim
		}
	}
	t.Fatal("no claim was sent")
	return StoreTxn{}
}

// TestLaterTermHeardBeforeClaimAnswer: the store carries out a claim, and the
// answer is late. Meanwhile a peer claims the part in its turn and answers a call
// with its later term. The claim's answer then makes this controller a holder
// that has been succeeded already: hearTerms ignored the later term, as the part
// was not held yet, so nothing but the comparison of terms in wordOn keeps that
// peer's answer from counting as its word that there is no later claim.
func TestLaterTermHeardBeforeClaimAnswer(t *testing.T) {
	const ownTerm = 2
	for _, test := range []struct {
		name     string
		heard    Term
		wordHeld bool
	}{
		{"the peer knows of no later claim", ownTerm, true},
		{"the peer has claimed the part since", ownTerm + 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newCoreHarness()
			part := b.parts[0]
			claim := sendClaim(t, b)
			sent := b.now

			b.now += 3 * second
			heard := b.now
			answerPing(b, "n1", test.heard)
			answerPing(b, "n2", ownTerm)

			b.now += second
			b.calls[claim.Call](TxnReply{Out: OK, Epoch: 40})
			if !part.held || part.term != ownTerm {
				t.Fatalf("held %v, term %d; want the part held with term %d", part.held, part.term, ownTerm)
			}
			want := sent
			if test.wordHeld {
				want = heard
			}
			if got := b.certainAt(part); got != want {
				t.Errorf("certain as of %d s, want %d s", got/second, want/second)
			}
		})
	}
}
