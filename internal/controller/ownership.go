package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/ownership"
	"stairrelay/internal/state"
)

// How long a holder may act on what it last knew for certain: package
// entitlement says why and reckons; here is what is known and what follows.

// recordConfirmation notes that the store has shown a part's claim in force, by an exchange
// that began at a time.
func (c *Controller) recordConfirmation(p *state.Shard, mark cluster.ModRevision, begun cluster.Time) {
	if p.Owned && p.ModRevision == mark {
		p.ConfirmedAt = max(p.ConfirmedAt, begun)
	}
}

// ownershipClaim is what this controller knows of its claim of the part.
func ownershipClaim(p *state.Shard) ownership.Claim {
	return ownership.Claim{ShardID: p.ID, Term: p.Term, ConfirmedAt: p.ConfirmedAt}
}

// typicalPeerCount is how many words are gathered without an allocation: every
// worker's report asks for them.
const typicalPeerCount = 8

// ownershipConfirmedAt is the last moment at which it is certain that nobody had claimed
// a part after this controller.
func (c *Controller) ownershipConfirmedAt(p *state.Shard) cluster.Time {
	words := make([]ownership.Acknowledgement, 0, typicalPeerCount)
	for _, peer := range c.members.Peers() {
		words = append(words, ownership.Acknowledgement(peer.Acknowledgement()))
	}
	return ownershipClaim(p).LastConfirmedAt(c.loop.Now(), words)
}

// confirmationAge is how long ago that was.
func (c *Controller) confirmationAge(p *state.Shard) cluster.Time {
	return c.loop.Now() - c.ownershipConfirmedAt(p)
}

// canAnswerWorkers tells whether this controller may still answer a part's workers.
func (c *Controller) canAnswerWorkers(p *state.Shard) bool {
	return ownership.CanAnswer(c.confirmationAge(p), c.config.CancelDeadline, c.config.WorkerLease)
}

// canStartTasks tells whether tasks of a part may be sent to its machines.
func (c *Controller) canStartTasks(p *state.Shard) bool {
	return ownership.CanStart(c.confirmationAge(p))
}

// renewOwnership reads the marks of parts of which some controller has not given
// its word lately, while the store serves: as when one is down or was restarted.
func (c *Controller) renewOwnership() {
	if c.writeQueue.IsUnavailableFor(second) {
		return
	}
	for _, p := range c.state.Shards {
		if p.Owned && ownership.NeedsRenewal(c.confirmationAge(p)) {
			c.rereadShard(p)
		}
	}
}

// applyTerms takes in what another controller knows of the parts' terms. A later
// one is enough to give a part up: while the store is out of reach here, nothing
// else would tell, and the workers would be held by answers that mean nothing.
func (c *Controller) applyTerms(terms []cluster.Term) {
	for i, t := range terms {
		if i < len(c.state.Shards) && c.state.Shards[i].Owned && t > c.state.Shards[i].Term {
			c.handleDeposed(c.state.Shards[i].ID)
		}
	}
}

// knownTerms lists the latest terms known here, by part.
func (c *Controller) knownTerms() []cluster.Term {
	out := make([]cluster.Term, len(c.state.Shards))
	for i, p := range c.state.Shards {
		out[i] = p.Term
	}
	return out
}
