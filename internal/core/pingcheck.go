package core

import "fmt"

// PingError is what makes no sense in another controller's call or answer.
type PingError struct {
	Field string
	Count int
	Most  int
}

// Error names the field and how much it may hold.
func (e *PingError) Error() string {
	return fmt.Sprintf("%s: %d, at most %d make sense", e.Field, e.Count, e.Most)
}

// maxOffers is how many groups a call offers; the others follow once those were
// taken or have lapsed.
const maxOffers = 256

// checkPing refuses a call that lists more than there can be. What it lists is
// gone through, and a count in it is gone through one by one, so that an absurd
// one would hold up everything else.
func (c *Core) checkPing(g *Ping) error {
	parts, nodes := len(c.parts), len(c.cfg.Nodes)
	for _, list := range []PingError{
		{"Parts", len(g.Parts), parts},
		{"Offer", len(g.Offer), parts},
		{"Loads", len(g.Loads), parts},
		{"Terms", len(g.Terms), parts},
		{"Heard", len(g.Heard), nodes},
		{"Groups", len(g.Groups), maxOffers},
	} {
		if list.Count > list.Most {
			return &list
		}
	}
	for _, offer := range g.Groups {
		if err := c.checkOffer(&offer); err != nil {
			return err
		}
	}
	return nil
}

// makesSense tells whether a peer's call or answer can be taken in. What is wrong
// with it is logged once.
func (c *Core) makesSense(p *peer, g *Ping) bool {
	err := c.checkPing(g)
	if err == nil {
		return true
	}
	if why := err.Error(); p.nonsense != why {
		p.nonsense = why
		c.logf(LogInfo, "call makes no sense", "peer", string(p.id), "why", why)
	}
	return false
}

// checkOffer refuses a group with more machines than a record can list.
func (c *Core) checkOffer(o *GroupOffer) error {
	machines := 0
	for _, kind := range o.Kinds {
		if kind.N < 0 || kind.N > c.cfg.ValueBytes || machines > c.cfg.ValueBytes {
			return &PingError{"Groups.Kinds.N", kind.N, c.cfg.ValueBytes}
		}
		machines += kind.N
	}
	return nil
}
