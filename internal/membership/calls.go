package membership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// protocolVersion is the version of the protocol between controllers. Messages of
// another version are rejected.
const protocolVersion = 2

// Call sends a message to a peer and counts the call. It calls handle with the reply, or
// with a failure outcome if no reply arrives within the timeout.
func (m *Members) Call(to cluster.NodeID, timeout cluster.Time, message messages.PeerMessage, handle func(messages.PeerReply)) {
	m.callCount++
	m.loop.Emit(messages.PeerCall{
		Call:    eventloop.Call(m.loop, handle),
		To:      to,
		Timeout: timeout,
		Message: m.WithSender(message),
	})
}

// WithSender returns a copy of a message with this controller as its sender and the
// current protocol version.
func (m *Members) WithSender(message messages.PeerMessage) messages.PeerMessage {
	message.Version, message.From = protocolVersion, m.config.Self
	return message
}

// Sender returns the peer that sent a message. The result is nil if the sender is
// unknown or uses another version of the protocol.
func (m *Members) Sender(message *messages.PeerMessage) *Peer {
	if message.Version != protocolVersion {
		return nil
	}
	return m.Peer(message.From)
}

// CallCount returns the number of calls to peers since the last TakeCallCount.
func (m *Members) CallCount() int { return m.callCount }

// TakeCallCount returns CallCount and resets it to zero.
func (m *Members) TakeCallCount() int {
	count := m.callCount
	m.callCount = 0
	return count
}
