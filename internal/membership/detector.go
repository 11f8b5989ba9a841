package membership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// minProbePause separates two calls to a peer whatever their timeouts.
const minProbePause = 5 * millisecond

// failureDetector calls a peer: a ping each second, then retries with exponential
// back-off, then probes at a steady pace.
//
// One call is under way or scheduled at any time. missedProbes counts the calls
// without a valid answer since the last that had one.
type failureDetector struct {
	members      *Members
	peer         *Peer
	missedProbes int
}

// probe calls the peer, and schedules the next call once the outcome is known.
func (d *failureDetector) probe() {
	m, peer := d.members, d.peer
	timeout, begun := d.timeout(), m.loop.Now()
	m.Call(peer.id, timeout, messages.PeerMessage{Ping: m.MakePing(peer)}, func(reply messages.PeerReply) {
		if reply.Outcome == messages.OK && reply.Message.Ping != nil && m.checkPing(peer, reply.Message.Ping) == nil {
			d.missedProbes = 0
			m.HandlePingReply(peer, reply.Message.Ping, begun)
			m.loop.After(m.config.PingInterval, d.probe)
			return
		}
		d.handleMissedProbe()
		// A refused connection comes back at once and proves nothing: it
		// must not shorten the detection, so the full interval passes.
		pause := begun + timeout - m.loop.Now()
		if d.isExhausted() {
			pause = max(pause, m.config.ProbeInterval)
		}
		m.loop.After(max(pause, minProbePause), d.probe)
	})
}

// timeout is how long the next call may take.
func (d *failureDetector) timeout() cluster.Time {
	config := &d.members.config
	switch {
	case d.missedProbes == 0:
		return config.PingTimeout
	case d.missedProbes <= config.PingRetries:
		return config.InitialRetryTimeout << (d.missedProbes - 1)
	default:
		return config.ProbeInterval
	}
}

// isExhausted tells whether the ping, all retries and all probes were in vain.
func (d *failureDetector) isExhausted() bool {
	config := &d.members.config
	return d.missedProbes > config.PingRetries+config.ProbeCount
}

// handleMissedProbe follows a call without a valid answer.
func (d *failureDetector) handleMissedProbe() {
	m, peer := d.members, d.peer
	d.missedProbes++
	if d.missedProbes > m.config.PingRetries && !peer.suspected {
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
