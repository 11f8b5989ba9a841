package core

// How long a holder may act on what it last knew for certain.
//
// A holder that the store does not serve can't see that another has claimed its
// part, and that other may have confirmed cancellations of jobs whose tasks run
// on machines which still report here. Each 200 would keep those tasks alive.
// So a holder counts from the last moment at which it was certain that nobody
// had claimed the part after it, and stops answering the part's workers early
// enough that their leases end in time (docs/safety.md, "Gap").
//
// It is certain as of the beginning of every exchange with the store that shows
// its claim in force, and as of the sending of calls that every other controller
// has answered with its word: that it knows of no later term. A controller that
// claims a part knows its term from then on, and acts on it only after that. Its
// word counts only for its present run, as it forgets what an earlier run did: a
// claim of that one shows in the store alone, so that must have been read since.
// While all give their word, an outage of the store costs nothing.

// clockDrift bounds how far the steady clocks of two machines drift apart.
const clockDrift = 0.001 // twice the protocol's 0.05%

// killSlack is left for what a worker takes to notice that its lease is over.
const killSlack = 2 * second

// Entitlement is how long after a holder was last certain of its part it may
// answer the part's workers: a cancellation that it can't know of was confirmed
// after that moment, and the lease that its last answer renews, counted from the
// sending of a report, must be over within cancel_s of it.
func Entitlement(cancelWithin, lease Time) Time {
	return cancelWithin - lease - killSlack - Time(float64(cancelWithin+lease)*clockDrift)
}

// LeastEntitlement is what calls each second need: with less, one lost call
// would cost tasks. Where the settings leave less than that, the bound on
// cancellations can't be kept in every outage.
const LeastEntitlement = 4 * second

// startEntitlement is how old a certainty may be for starts: one that is sent
// by a holder that was succeeded would only be stopped again.
const startEntitlement = 5 * second

// proven notes that the store has shown a part's claim in force, by an exchange
// that began at a time.
func (c *Core) proven(p *part, mark Mark, begun Time) {
	if p.held && p.mark == mark {
		p.provenAt = max(p.provenAt, begun)
	}
}

// certainAt is the last moment at which it is certain that nobody had claimed
// a part after this controller.
func (c *Core) certainAt(p *part) Time {
	at := c.now
	for _, q := range c.peers {
		at = min(at, q.wordOn(p))
	}
	return max(at, p.provenAt)
}

// wordOn is when the last call was sent that the peer answered with its word
// that it knows of no later claim of the part; 0: it counts for nothing.
func (q *peer) wordOn(p *part) Time {
	if int(p.id) >= len(q.terms) || q.terms[p.id] > p.term || q.bootAt > p.provenAt {
		return 0
	}
	return q.wordAt
}

// entitled tells whether this controller may still answer a part's workers.
func (c *Core) entitled(p *part) bool {
	return c.now-c.certainAt(p) <= max(Entitlement(c.cfg.CancelWithin, c.cfg.Lease), LeastEntitlement)
}

// mayStart tells whether tasks of a part may be sent to its machines.
func (c *Core) mayStart(p *part) bool { return c.now-c.certainAt(p) <= startEntitlement }

// proveClaims reads the marks of parts of which some controller has not given
// its word lately, while the store serves: as when one is down or was restarted.
func (c *Core) proveClaims() {
	if c.storeLost(second) {
		return
	}
	for _, p := range c.parts {
		if p.held && c.now-c.certainAt(p) > 2*second {
			c.rereadPart(p)
		}
	}
}

// hearTerms takes in what another controller knows of the parts' terms. A later
// one is enough to give a part up: while the store is out of reach here, nothing
// else would tell, and the workers would be held by answers that mean nothing.
func (c *Core) hearTerms(terms []Term) {
	for i, t := range terms {
		if i < len(c.parts) && c.parts[i].held && t > c.parts[i].term {
			c.fenced(c.parts[i].id)
		}
	}
}

// terms lists the latest terms known here, by part.
func (c *Core) terms() []Term {
	out := make([]Term, len(c.parts))
	for i, p := range c.parts {
		out[i] = p.term
	}
	return out
}
