package membership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// protocolVersion guards against messages of another release.
const protocolVersion = 2

// Call sends a message to a peer and hands its reply on.
func (m *Members) Call(to cluster.NodeID, timeout cluster.Time, message messages.PeerMessage, handle func(messages.PeerReply)) {
	m.callCount++
	m.loop.Emit(messages.PeerCall{
		Call:    eventloop.Call(m.loop, handle),
		To:      to,
		Timeout: timeout,
		Message: m.WithSender(message),
	})
}

// WithSender returns a message that names this controller as its sender.
func (m *Members) WithSender(message messages.PeerMessage) messages.PeerMessage {
	message.Version, message.From = protocolVersion, m.config.Self
	return message
}

// Sender returns the peer that has sent a message; nil: it is unknown, or its
// release speaks another version of the protocol.
func (m *Members) Sender(message *messages.PeerMessage) *Peer {
	if message.Version != protocolVersion {
		return nil
	}
	return m.Peer(message.From)
}

// CallCount is the number of calls to peers since it was last taken.
func (m *Members) CallCount() int { return m.callCount }

// TakeCallCount returns the number of calls to peers since it was last taken.
func (m *Members) TakeCallCount() int {
	count := m.callCount
	m.callCount = 0
	return count
}
