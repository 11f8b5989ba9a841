package core

// failureDetector calls another controller as the design's detection says: a
// call each second, then retries with exponential back-off, then probes at a
// steady pace, then failure.
//
// One call is under way or scheduled at any time. missed counts the calls
// without an answer since the last that had one.
type failureDetector struct {
	core   *Core
	peer   *peer
	missed int
}

// watchPeer begins the detection of a peer's failure.
func (c *Core) watchPeer(p *peer) {
	d := &failureDetector{core: c, peer: p}
	d.call()
}

func (d *failureDetector) call() {
	c, p := d.core, d.peer
	timeout, begun := d.timeout(), c.now
	c.ask(p.id, timeout, PeerMsg{Ping: c.makePing(p)}, func(r PeerReply) {
		if r.Out == OK && r.Msg.Ping != nil && c.makesSense(p, r.Msg.Ping) {
			d.missed = 0
			c.heardPing(p, *r.Msg.Ping, begun)
			c.after(c.cfg.Tuning.PingEvery, d.call)
			return
		}
		d.miss()
		// A refused connection comes back at once and proves nothing: it
		// must not shorten the detection, so the full interval passes.
		wait := begun + timeout - c.now
		if d.exhausted() {
			wait = max(wait, c.cfg.Tuning.ProbeEvery)
		}
		c.after(max(wait, 5*milli), d.call)
	})
}

// timeout is how long the next call may take.
func (d *failureDetector) timeout() Time {
	tuning := &d.core.cfg.Tuning
	switch {
	case d.missed == 0:
		return tuning.PingTimeout
	case d.missed <= tuning.Retries:
		return tuning.RetryFirst << (d.missed - 1)
	default:
		return tuning.ProbeEvery
	}
}

// exhausted tells whether all retries and probes were in vain.
func (d *failureDetector) exhausted() bool {
	return d.missed > d.core.cfg.Tuning.Retries+d.core.cfg.Tuning.Probes
}

// miss follows a call without an answer.
func (d *failureDetector) miss() {
	c, p := d.core, d.peer
	d.missed++
	if d.missed > c.cfg.Tuning.Retries && !p.prone {
		p.prone = true
		c.logf(LogDebug, "peer failure-prone", "peer", string(p.id))
	}
	if d.exhausted() && !p.failed {
		p.failed, p.failedAt, p.beatRead = true, c.now, false
		c.logf(LogInfo, "peer failed", "peer", string(p.id))
		c.livenessChanged()
	}
	if p.failed {
		c.reviewParts()
	}
}
