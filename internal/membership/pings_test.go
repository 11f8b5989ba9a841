package membership

import (
	"errors"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// TestAcknowledgementOfCurrentProcess checks that only replies acknowledge terms, and
// only for the process that sent them.
func TestAcknowledgementOfCurrentProcess(t *testing.T) {
	m := newTestMembers()
	peer := m.Peer("n1")
	ping := &messages.Ping{InstanceID: "b1", KnownTerms: []cluster.Term{4}}
	if err := m.HandlePing(peer, ping); err != nil {
		t.Fatal(err)
	}
	if got := peer.Acknowledgement(); got.SentAt != 0 || got.Terms != nil || got.InstanceSeenAt != 30*second {
		t.Errorf("after a ping of the peer: %+v", got)
	}
	m.advance(2 * second)
	m.HandlePingReply(peer, ping, 31*second)
	if got := peer.Acknowledgement(); got.SentAt != 31*second || len(got.Terms) != 1 || got.InstanceSeenAt != 30*second {
		t.Errorf("after a reply of the peer: %+v", got)
	}
	if err := m.HandlePing(peer, &messages.Ping{InstanceID: "b2", KnownTerms: []cluster.Term{4}}); err != nil {
		t.Fatal(err)
	}
	if got := peer.Acknowledgement(); got.SentAt != 0 || got.Terms != nil || got.InstanceSeenAt != 32*second {
		t.Errorf("after a ping of the peer's next process: %+v", got)
	}
}

// TestInvalidPingRejected checks that an invalid ping is ignored, and that a peer with an
// invalid reply does not count as having answered.
func TestInvalidPingRejected(t *testing.T) {
	m := newTestMembers()
	invalid := &messages.Ping{InstanceID: "b1", KnownTerms: make([]cluster.Term, 8)}
	var pingError *PingError
	if err := m.HandlePing(m.Peer("n1"), invalid); !errors.As(err, &pingError) || pingError.Max != 7 {
		t.Errorf("error %v, want a *PingError with a maximum of 7", err)
	}
	if len(m.host.pingsFrom) > 0 || m.Peer("n1").instanceID != "" {
		t.Error("an invalid ping was applied")
	}

	m.Start()
	call, ok := m.loop.Effects()[1].(messages.PeerCall) // the first effect is the log line
	if !ok || call.To != "n1" {
		t.Fatalf("effects %v, want a call to n1", m.loop.Effects())
	}
	reply := messages.PeerReply{Outcome: messages.OK, Message: messages.PeerMessage{Ping: invalid}}
	m.loop.Deliver(messages.Reply{Call: call.Call, Body: reply})
	if m.Peer("n1").HasAnswered() {
		t.Error("an invalid ping counts as a reply")
	}
}

// TestSenderOfOtherProtocolVersion checks that a message of another protocol version or
// of an unknown node has no sender.
func TestSenderOfOtherProtocolVersion(t *testing.T) {
	m := newTestMembers()
	for _, test := range []struct {
		version int
		from    cluster.NodeID
		known   bool
	}{{protocolVersion, "n1", true}, {protocolVersion - 1, "n1", false}, {protocolVersion, "n9", false}, {protocolVersion, "n0", false}} {
		message := messages.PeerMessage{Version: test.version, From: test.from}
		if got := m.Sender(&message) != nil; got != test.known {
			t.Errorf("version %d from %s: known %v", test.version, test.from, got)
		}
	}
}
