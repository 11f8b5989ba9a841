package membership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// minProbeDelay is the minimum delay between two calls to a peer.
const minCallDelay = 5 * millisecond

// failureDetector monitors a peer by periodic pings. An unanswered ping is followed by
// retries with exponential backoff and then by probes at a fixed interval.
//
// Exactly one call is in flight or scheduled at any time. missedProbes counts the
// calls since the last valid reply.
type failureDetector struct {
	members      *Members
	peer         *Peer
	unansweredCalls int
}

// probe calls the peer and schedules the next call when the outcome is known.
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
		// A refused connection fails immediately. Waiting for the rest of the
		// timeout keeps it from shortening the detection time.
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

// isExhausted reports whether the ping, all retries and all probes were unanswered.
func (d *failureDetector) isExhausted() bool {
	config := &d.members.config
	return d.unansweredCalls > config.PingRetries+config.ProbeCount
}

// handleMissedProbe updates the peer's state after a call without a valid reply.
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
