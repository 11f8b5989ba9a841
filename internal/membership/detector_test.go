package membership

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// TestFailureDetection: a peer that answers nothing is suspected after the ping and
// five retries, and unreachable after five probes more; refused calls, which come
// back at once, do not shorten that. It is reachable again with its first answer.
func TestFailureDetection(t *testing.T) {
	m := newTestMembers()
	peer := m.Peer("n1")
	m.Start()
	began := m.loop.Now()
	var suspectedAfter, unreachableAfter cluster.Time
	for m.loop.Now() < began+10*second {
		m.deliverPings("n1")
		if suspectedAfter == 0 && peer.IsSuspected() {
			suspectedAfter = m.loop.Now() - began
		}
		if unreachableAfter == 0 && peer.IsUnreachable() {
			unreachableAfter = m.loop.Now() - began
		}
	}
	// The ping's second, and 0.1 + 0.2 + 0.4 + 0.8 s of the first retries.
	if suspectedAfter < 5*second/2 || suspectedAfter > 3*second {
		t.Errorf("suspected after %d ms", suspectedAfter/millisecond)
	}
	// Then 1.6 s of the last retry, and four probes' 0.5 s.
	if unreachableAfter < 6*second || unreachableAfter > 13*second/2 {
		t.Errorf("unreachable after %d ms", unreachableAfter/millisecond)
	}
	if m.host.reachabilityChanges != 1 || m.host.reviews < 2 {
		t.Errorf("%d changes, %d reviews", m.host.reachabilityChanges, m.host.reviews)
	}
	if live := m.store.LiveControllers(); live != 6 {
		t.Errorf("%d live controllers of 7", live)
	}

	for range 100 {
		m.deliverPings("")
	}
	if peer.IsUnreachable() || peer.IsSuspected() {
		t.Errorf("after its answer: unreachable %v, suspected %v", peer.IsUnreachable(), peer.IsSuspected())
	}
	if live := m.store.LiveControllers(); live != 7 {
		t.Errorf("%d live controllers after all have answered", live)
	}
}

// deliverPings lets some time pass and all peers answer what they were sent, but for
// one, which refuses its calls.
func (m *testMembers) deliverPings(refusing cluster.NodeID) {
	effects := m.loop.Effects()
	m.advance(10 * millisecond)
	for _, effect := range effects {
		call, ok := effect.(messages.PeerCall)
		if !ok {
			continue
		}
		reply := messages.PeerReply{Outcome: messages.NotApplied}
		if call.To != refusing {
			reply = messages.PeerReply{Outcome: messages.OK, Message: messages.PeerMessage{Ping: healthyPing()}}
		}
		m.loop.Deliver(messages.Reply{Call: call.Call, Body: reply})
	}
	m.loop.RunTimers()
}
