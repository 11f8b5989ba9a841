package controller

import (
	"fmt"

	"stairrelay/internal/messages"
)

// PingError is what makes no sense in another controller's call or answer.
type PingError struct {
	Field string
	Count int
	Max   int
}

// Error names the field and how much it may hold.
func (e *PingError) Error() string {
	return fmt.Sprintf("%s: %d, at most %d make sense", e.Field, e.Count, e.Max)
}

// maxOffers is how many groups a call offers; the others follow once those were
// taken or have lapsed.
const maxOffers = 256

// validatePing refuses a call that lists more than there can be. What it lists is
// gone through, and a count in it is gone through one by one, so that an absurd
// one would hold up everything else.
func (c *Controller) validatePing(g *messages.Ping) error {
	parts, nodes := len(c.state.Shards), len(c.config.Nodes)
	for _, list := range []PingError{
		{"Parts", len(g.Shards), parts},
		{"Offer", len(g.FailbackOffers), parts},
		{"Loads", len(g.ShardLoads), parts},
		{"Terms", len(g.KnownTerms), parts},
		{"Heard", len(g.MillisSinceContact), nodes},
		{"Groups", len(g.TransferOffers), maxOffers},
	} {
		if list.Count > list.Max {
			return &list
		}
	}
	for _, offer := range g.TransferOffers {
		if err := c.validateOffer(&offer); err != nil {
			return err
		}
	}
	return nil
}

// isValidPing tells whether a peer's call or answer can be taken in. What is wrong
// with it is logged once.
func (c *Controller) isValidPing(p *peer, g *messages.Ping) bool {
	err := c.validatePing(g)
	if err == nil {
		return true
	}
	if why := err.Error(); p.lastPingError != why {
		p.lastPingError = why
		c.loop.Log(messages.LogInfo, "call makes no sense", "peer", string(p.id), "why", why)
	}
	return false
}

// validateOffer refuses a group with more machines than a record can list.
func (c *Controller) validateOffer(o *messages.TransferOffer) error {
	machines := 0
	for _, kind := range o.Kinds {
		if kind.Count < 0 || kind.Count > c.config.MaxValueBytes || machines > c.config.MaxValueBytes {
			return &PingError{"Groups.Kinds.N", kind.Count, c.config.MaxValueBytes}
		}
		machines += kind.Count
	}
	return nil
}
