package membership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// minCallDelay is the minimum delay between a failed call and the next one.
const minCallDelay = 5 * millisecond

// failureDetector monitors a peer by periodic pings. A ping without a valid reply is
// followed by retries with doubling timeouts, and then by probes at a fixed interval
// until the peer replies. All of these calls send a Ping message.
//
// Exactly one call is in flight or scheduled at any time. unansweredCalls counts the
// calls that have failed since the last valid reply. It does not include a call in
// flight.
type failureDetector struct {
	members         *Members
	peer            *Peer
	unansweredCalls int
}

// callPeer sends a ping, a retry or a probe. When the outcome is known, it updates the
// peer's state and schedules the next call.
func (d *failureDetector) callPeer() {
	m, peer := d.members, d.peer
	timeout, sentAt := d.timeout(), m.loop.Now()
	m.Call(peer.id, timeout, messages.PeerMessage{Ping: m.MakePing(peer)}, func(reply messages.PeerReply) {
		if reply.Outcome == messages.OK && reply.Message.Ping != nil && m.checkPing(peer, reply.Message.Ping) == nil {
			d.unansweredCalls = 0
			m.HandlePingReply(peer, reply.Message.Ping, sentAt)
			m.loop.After(m.config.PingInterval, d.callPeer)
			return
		}
		d.handleUnansweredCall()
		// A refused connection fails before the timeout. The next call then waits for the
		// rest of the timeout, so that refused connections don't shorten the detection
		// time.
		delay := sentAt + timeout - m.loop.Now()
		if d.isExhausted() {
			delay = max(delay, m.config.ProbeInterval)
		}
		m.loop.After(max(delay, minCallDelay), d.callPeer)
	})
}

// timeout returns the timeout of the next call.
func (d *failureDetector) timeout() cluster.Time {
	config := &d.members.config
	switch {
	case d.unansweredCalls == 0:
		return config.PingTimeout
	case d.unansweredCalls <= config.PingRetries:
		return config.InitialRetryTimeout << (d.unansweredCalls - 1)
	default:
		return config.ProbeInterval
	}
}

// isExhausted reports whether the ping, all its retries and ProbeCount probes have
// failed.
func (d *failureDetector) isExhausted() bool {
	config := &d.members.config
	return d.unansweredCalls > config.PingRetries+config.ProbeCount
}

// handleUnansweredCall updates the peer's state after a call without a valid reply. The
// peer counts as suspected once the last retry has failed, and as unreachable once
// ProbeCount probes have failed. While the peer is unreachable, every failed call makes
// the host review the shard ownership.
func (d *failureDetector) handleUnansweredCall() {
	m, peer := d.members, d.peer
	d.unansweredCalls++
	if d.unansweredCalls > m.config.PingRetries && !peer.suspected {
		peer.suspected = true
		m.loop.Log(messages.LogDebug, "peer suspected", "node", string(peer.id))
	}
	if d.isExhausted() && !peer.unreachable {
		peer.unreachable, peer.unreachableSince, peer.livenessRead = true, m.loop.Now(), false
		m.loop.Log(messages.LogInfo, "peer unreachable", "node", string(peer.id))
		m.handleReachabilityChange()
	}
	if peer.unreachable {
		m.host.ReviewOwnership()
	}
}
