package core

// partLoading is the reading of the checkpoint of a part just claimed: the
// records come first, what the workers say is compared with them afterwards.
//
// It ends with its claim. Nothing is taken in before all records were read.
type partLoading struct {
	core    *Core
	part    *part
	claim   Epoch
	groups  *ListReply
	rentals *ListReply
	accepts *ListReply
	jobs    *ListReply
}

// loadPart reads the checkpoint of a part.
func (c *Core) loadPart(p *part) {
	l := &partLoading{core: c, part: p, claim: p.claim}
	l.read("groups/", &l.groups)
	l.read("rentals/", &l.rentals)
	// The accepts first: what is accepted in between comes by the watch.
	l.read(acceptPrefix, &l.accepts)
	l.read(jobPrefix, &l.jobs)
}

// read lists the records with a prefix until that works.
func (l *partLoading) read(prefix string, to **ListReply) {
	l.core.list(prefix, func(r ListReply) {
		if !l.part.heldUnder(l.claim) {
			return
		}
		if r.Out != OK {
			l.core.after(second/3, func() { l.read(prefix, to) })
			return
		}
		*to = &r
		if l.groups != nil && l.rentals != nil && l.accepts != nil && l.jobs != nil {
			l.finish()
		}
	})
}

// finish takes the records in and begins to serve the part, unless they show
// that it is lost or hold something that makes no sense.
func (l *partLoading) finish() {
	c, p := l.core, l.part
	l.learnRecords()
	if !p.held {
		return
	}
	if len(p.aside) > 0 {
		c.clearAside(p)
		return
	}
	p.ready = true
	c.holdingChanges++
	early := p.early
	p.early = nil
	for _, kv := range early {
		c.learnJob(kv, nil)
	}
	l.awaitMachines()
	c.placement.request()
	if len(p.machines)+len(p.rentals) > 0 {
		c.cloudListing.nextAt = 0 // the cloud's list shows what the records may lack
	}
	c.logf(LogInfo, "part ready",
		"part", int(p.id),
		"machines", len(p.machines),
		"jobs", len(p.jobs),
		"took_ms", int((c.now-p.since)/milli))
	c.machineSweep()
}

func (l *partLoading) learnRecords() {
	c, p := l.core, l.part
	for _, kv := range l.jobs.Items {
		c.learnJob(kv, p)
	}
	for _, kv := range l.accepts.Items { // after the jobs' own records, which count
		c.learnAccepted(kv, p)
	}
	for _, kv := range l.groups.Items {
		c.learnGroup(kv, p)
	}
	for _, kv := range l.rentals.Items {
		c.learnRental(kv, p)
	}
}

// awaitMachines notes which machines have yet to acknowledge this claim's token,
// and logs after a lease how many did.
func (l *partLoading) awaitMachines() {
	c, p := l.core, l.part
	p.unanswered, p.ackedAt = 0, c.now
	for _, m := range p.machines {
		if m.taken = !m.booting; m.taken {
			p.unanswered++
		}
	}
	taken := p.unanswered
	if taken == 0 {
		return
	}
	c.after(c.cfg.Lease, func() {
		if p.heldUnder(l.claim) {
			c.logf(LogInfo, "machines answered",
				"part", int(p.id),
				"machines", taken,
				"silent", p.unanswered,
				"took_ms", int((p.ackedAt-p.since)/milli))
		}
	})
}
