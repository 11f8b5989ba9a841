package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
)

// membershipConfig is what the view of the other controllers needs of the settings.
func (c *Controller) membershipConfig() membership.Config {
	tuning := &c.config.Tuning
	return membership.Config{
		Self:                c.config.Self,
		Nodes:               c.config.Nodes,
		InstanceID:          c.config.InstanceID,
		FeatureLevel:        dependencyFeatureLevel,
		MaxValueBytes:       c.config.MaxValueBytes,
		HeartbeatInterval:   c.config.HeartbeatInterval,
		PingInterval:        tuning.PingInterval,
		PingTimeout:         tuning.PingTimeout,
		PingRetries:         tuning.PingRetries,
		InitialRetryTimeout: tuning.InitialRetryTimeout,
		ProbeCount:          tuning.ProbeCount,
		ProbeInterval:       tuning.ProbeInterval,
	}
}

// ownedFleet shows the machines of owned shards to the check whether workers can be
// reached.
type ownedFleet struct{ controller *Controller }

// MachineCount implements membership.Fleet.
func (f ownedFleet) MachineCount() int { return len(f.controller.machines) }

// VisitBooted implements membership.Fleet.
func (f ownedFleet) VisitBooted(visit func(address string, ownedSince cluster.Time)) {
	for _, shard := range f.controller.shards {
		for _, machine := range shard.machines {
			if !machine.booting {
				visit(machine.address, machine.ownedSince)
			}
		}
	}
}

// membershipHost connects pings and the peers' reachability with shards and offers.
type membershipHost struct{ controller *Controller }

// DescribeShards implements membership.Host.
func (h membershipHost) DescribeShards(to *membership.Peer, ping *messages.Ping) {
	c := h.controller
	for _, shard := range c.shards {
		if !shard.owned {
			continue
		}
		ping.Shards = append(ping.Shards, messages.ShardTerm{Shard: shard.id, Term: shard.term})
		if c.offersFailback(shard, to) {
			ping.FailbackOffers = append(ping.FailbackOffers, shard.id)
		}
	}
	ping.TransferOffers = c.transferOffers()
	ping.CloudDemand = c.cloudRate.demand
	ping.ShardLoads = c.ownedShardLoads()
	ping.KnownTerms = c.knownTerms()
}

// HandlePing implements membership.Host.
func (h membershipHost) HandlePing(from *membership.Peer, ping *messages.Ping) {
	c := h.controller
	c.attemptedTransfers.retainOffered(from.ID(), ping.TransferOffers)
	if len(ping.TransferOffers) > 0 {
		c.scheduleScaleOut()
	}
	c.applyPeerShards(from.ID(), ping.Shards)
	c.applyFailbackOffers(from.ID(), ping.FailbackOffers)
	c.applyTerms(ping.KnownTerms)
	c.reviewShards()
}

// HandleReachabilityChange implements membership.Host.
func (h membershipHost) HandleReachabilityChange() { h.controller.updateCloudRate() }

// ReviewOwnership implements membership.Host.
func (h membershipHost) ReviewOwnership() { h.controller.reviewShards() }

// applyPeerShards takes in which shards a peer says that it owns.
func (c *Controller) applyPeerShards(from cluster.NodeID, terms []messages.ShardTerm) {
	for _, said := range terms {
		if int(said.Shard) < 0 || int(said.Shard) >= len(c.shards) {
			continue
		}
		shard := c.shards[said.Shard]
		if said.Term > shard.term && shard.owned {
			c.handleDeposed(shard.id)
		}
		if said.Term > shard.term && !shard.owned && !shard.acquiring {
			// The claim's mod revision is not in the ping, so it has to be read
			// before an acquisition from here.
			shard.owner, shard.term = from, said.Term
			c.rereadShard(shard)
		}
		shard.failbackOffered = shard.failbackOffered && shard.owner != from
	}
}

// applyFailbackOffers takes in which shards their owner would hand back to this
// controller, their preferred owner.
func (c *Controller) applyFailbackOffers(from cluster.NodeID, offers []cluster.ShardID) {
	for _, id := range offers {
		if int(id) < 0 || int(id) >= len(c.shards) {
			continue
		}
		if shard := c.shards[id]; shard.preferredOwner == c.config.Self && shard.owner == from {
			shard.failbackOffered = true
		}
	}
}

// offersFailback tells whether a peer may acquire a shard that it is the preferred
// owner of: both have been settled for a while.
func (c *Controller) offersFailback(shard *shard, to *membership.Peer) bool {
	delay := c.config.Tuning.FailbackDelay
	return shard.preferredOwner == to.ID() && shard.ready &&
		!to.IsUnreachable() && to.IsHealthyFor(delay) &&
		c.loop.Now()-shard.ownershipChangedAt > delay &&
		c.failbackRelievesLoad(shard)
}

// failbackRelievesLoad tells whether handing a shard back would take work off this
// controller that it does beside other work. A shard that has all the work would
// only change owners: its machines and users would wait for that for nothing.
func (c *Controller) failbackRelievesLoad(returned *shard) bool {
	if returned.isIdle() {
		return true
	}
	for _, other := range c.shards {
		if other != returned && other.owned && !other.isIdle() {
			return true
		}
	}
	return false
}

// isIdle tells whether the shard has neither jobs nor machines.
func (p *shard) isIdle() bool { return len(p.jobs)+len(p.machines) == 0 }

// reviewShards considers for each shard whether this controller should acquire it.
func (c *Controller) reviewShards() {
	for _, shard := range c.shards {
		c.considerAcquire(shard)
	}
}
