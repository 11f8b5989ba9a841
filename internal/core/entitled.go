package core

import "stairrelay/internal/entitlement"

// How long a holder may act on what it last knew for certain: package
// entitlement says why and reckons; here is what is known and what follows.

// proven notes that the store has shown a part's claim in force, by an exchange
// that began at a time.
func (c *Core) proven(p *part, mark Mark, begun Time) {
	if p.held && p.mark == mark {
		p.provenAt = max(p.provenAt, begun)
	}
}

// claimed is what this controller knows of its claim of the part.
func (p *part) claimed() entitlement.Claim {
	return entitlement.Claim{Part: p.id, Term: p.term, ProvenAt: p.provenAt}
}

// word is what the peer has last answered.
func (q *peer) word() entitlement.Word {
	return entitlement.Word{At: q.wordAt, RunSince: q.bootAt, Terms: q.terms}
}

// usualPeers is how many words are gathered without an allocation: every
// worker's report asks for them.
const usualPeers = 8

// certainAt is the last moment at which it is certain that nobody had claimed
// a part after this controller.
func (c *Core) certainAt(p *part) Time {
	words := make([]entitlement.Word, 0, usualPeers)
	for _, q := range c.peers {
		words = append(words, q.word())
	}
	return p.claimed().CertainAt(c.now, words)
}

// certaintyAge is how long ago that was.
func (c *Core) certaintyAge(p *part) Time { return c.now - c.certainAt(p) }

// entitled tells whether this controller may still answer a part's workers.
func (c *Core) entitled(p *part) bool {
	return entitlement.MayAnswer(c.certaintyAge(p), c.cfg.CancelWithin, c.cfg.Lease)
}

// mayStart tells whether tasks of a part may be sent to its machines.
func (c *Core) mayStart(p *part) bool { return entitlement.MayStart(c.certaintyAge(p)) }

// proveClaims reads the marks of parts of which some controller has not given
// its word lately, while the store serves: as when one is down or was restarted.
func (c *Core) proveClaims() {
	if c.storeLost(second) {
		return
	}
	for _, p := range c.parts {
		if p.held && entitlement.NeedsProof(c.certaintyAge(p)) {
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
