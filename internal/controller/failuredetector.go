package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// failureDetector calls another controller as the design's detection says: a
// call each second, then retries with exponential back-off, then probes at a
// steady pace, then failure.
//
// One call is under way or scheduled at any time. missed counts the calls
// without an answer since the last that had one.
type failureDetector struct {
	controller   *Controller
	peer         *peer
	missedProbes int
}

// startFailureDetector begins the detection of a peer's failure.
func (c *Controller) startFailureDetector(p *peer) {
	d := &failureDetector{controller: c, peer: p}
	d.probe()
}

func (d *failureDetector) probe() {
	c, p := d.controller, d.peer
	timeout, begun := d.timeout(), c.loop.Now()
	c.callPeer(p.id, timeout, messages.PeerMessage{Ping: c.makePing(p)}, func(r messages.PeerReply) {
		if r.Outcome == messages.OK && r.Message.Ping != nil && c.isValidPing(p, r.Message.Ping) {
			d.missedProbes = 0
			c.applyPingReply(p, *r.Message.Ping, begun)
			c.loop.After(c.config.Tuning.PingInterval, d.probe)
			return
		}
		d.handleMissedProbe()
		// A refused connection comes back at once and proves nothing: it
		// must not shorten the detection, so the full interval passes.
		wait := begun + timeout - c.loop.Now()
		if d.isExhausted() {
			wait = max(wait, c.config.Tuning.ProbeInterval)
		}
		c.loop.After(max(wait, 5*millisecond), d.probe)
	})
}

// timeout is how long the next call may take.
func (d *failureDetector) timeout() cluster.Time {
	tuning := &d.controller.config.Tuning
	switch {
	case d.missedProbes == 0:
		return tuning.PingTimeout
	case d.missedProbes <= tuning.PingRetries:
		return tuning.InitialRetryTimeout << (d.missedProbes - 1)
	default:
		return tuning.ProbeInterval
	}
}

// isExhausted tells whether all retries and probes were in vain.
func (d *failureDetector) isExhausted() bool {
	return d.missedProbes > d.controller.config.Tuning.PingRetries+d.controller.config.Tuning.ProbeCount
}

// handleMissedProbe follows a call without an answer.
func (d *failureDetector) handleMissedProbe() {
	c, p := d.controller, d.peer
	d.missedProbes++
	if d.missedProbes > c.config.Tuning.PingRetries && !p.suspected {
		p.suspected = true
		c.loop.Log(messages.LogDebug, "peer failure-prone", "peer", string(p.id))
	}
	if d.isExhausted() && !p.failed {
		p.failed, p.failedAt, p.livenessRead = true, c.loop.Now(), false
		c.loop.Log(messages.LogInfo, "peer failed", "peer", string(p.id))
		c.handleLivenessChange()
	}
	if p.failed {
		c.reviewShards()
	}
}
