package membership

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// TestFailureDetection checks that refused connections don't shorten the detection time,
// and that a peer is reachable again after a reply.
func TestFailureDetection(t *testing.T) {
	m := newTestMembers()
	peer := m.Peer("n1")
	m.Start()
	startedAt := m.loop.Now()
	var suspectedAfter, unreachableAfter cluster.Time
	for m.loop.Now() < startedAt+10*second {
		m.answerPings("n1")
		if suspectedAfter == 0 && peer.IsSuspected() {
			suspectedAfter = m.loop.Now() - startedAt
		}
		if unreachableAfter == 0 && peer.IsUnreachable() {
			unreachableAfter = m.loop.Now() - startedAt
		}
	}
	// 1 s for the ping and 0.1 + 0.2 + 0.4 + 0.8 s for four retries. The fifth one fails
	// immediately.
	if suspectedAfter < 5*second/2 || suspectedAfter > 3*second {
		t.Errorf("suspected after %d ms, want 2500 to 3000 ms", suspectedAfter/millisecond)
	}
	// Then 1.6 s for the fifth retry and 0.5 s for each of four probes. The fifth one
	// fails immediately.
	if unreachableAfter < 6*second || unreachableAfter > 13*second/2 {
		t.Errorf("unreachable after %d ms, want 6000 to 6500 ms", unreachableAfter/millisecond)
	}
	if m.host.reachabilityChanges != 1 || m.host.reviews < 2 {
		t.Errorf("%d reachability changes and %d ownership reviews, want 1 and at least 2", m.host.reachabilityChanges, m.host.reviews)
	}
	if live := m.store.LiveControllers(); live != 6 {
		t.Errorf("%d live controllers of 7, want 6", live)
	}

	for range 100 {
		m.answerPings("")
	}
	if peer.IsUnreachable() || peer.IsSuspected() {
		t.Errorf("after a reply: unreachable %v, suspected %v", peer.IsUnreachable(), peer.IsSuspected())
	}
	if live := m.store.LiveControllers(); live != 7 {
		t.Errorf("%d live controllers after all have answered, want 7", live)
	}
}

// answerPings advances the time by 10 ms and delivers the replies of all peers to the
// pings of the previous step. Calls to the refusing peer fail.
func (m *testMembers) answerPings(refusing cluster.NodeID) {
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
