package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
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
func (f ownedFleet) MachineCount() int { return len(f.controller.state.Machines) }

// VisitBooted implements membership.Fleet.
func (f ownedFleet) VisitBooted(visit func(address string, ownedSince cluster.Time)) {
	for _, shard := range f.controller.state.Shards {
		for _, machine := range shard.Machines {
			if !machine.Booting {
				visit(machine.Address, machine.OwnedSince)
			}
		}
	}
}

// membershipHost connects pings and the peers' reachability with shards and offers.
type membershipHost struct{ controller *Controller }

// DescribeShards implements membership.Host.
func (h membershipHost) DescribeShards(to *membership.Peer, ping *messages.Ping) {
	c := h.controller
	for _, shard := range c.state.Shards {
		if !shard.Owned {
			continue
		}
		ping.Shards = append(ping.Shards, messages.ShardTerm{Shard: shard.ID, Term: shard.Term})
		if c.offersFailback(shard, to) {
			ping.FailbackOffers = append(ping.FailbackOffers, shard.ID)
		}
	}
	ping.TransferOffers = c.transferOffers()
	ping.CloudDemand = c.provisioner.Rate.Demand()
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
func (h membershipHost) HandleReachabilityChange() { h.controller.provisioner.Rate.Divide() }

// ReviewOwnership implements membership.Host.
func (h membershipHost) ReviewOwnership() { h.controller.reviewShards() }

// applyPeerShards takes in which shards a peer says that it owns.
func (c *Controller) applyPeerShards(from cluster.NodeID, terms []messages.ShardTerm) {
	for _, said := range terms {
		if int(said.Shard) < 0 || int(said.Shard) >= len(c.state.Shards) {
			continue
		}
		shard := c.state.Shards[said.Shard]
		if said.Term > shard.Term && shard.Owned {
			c.handleDeposed(shard.ID)
		}
		if said.Term > shard.Term && !shard.Owned && !shard.Acquiring {
			// The claim's mod revision is not in the ping, so it has to be read
			// before an acquisition from here.
			shard.Owner, shard.Term = from, said.Term
			c.rereadShard(shard)
		}
		shard.FailbackOffered = shard.FailbackOffered && shard.Owner != from
	}
}

// applyFailbackOffers takes in which shards their owner would hand back to this
// controller, their preferred owner.
func (c *Controller) applyFailbackOffers(from cluster.NodeID, offers []cluster.ShardID) {
	for _, id := range offers {
		if int(id) < 0 || int(id) >= len(c.state.Shards) {
			continue
		}
		if shard := c.state.Shards[id]; shard.PreferredOwner == c.config.Self && shard.Owner == from {
			shard.FailbackOffered = true
		}
	}
}

// offersFailback tells whether a peer may acquire a shard that it is the preferred
// owner of: both have been settled for a while.
func (c *Controller) offersFailback(shard *state.Shard, to *membership.Peer) bool {
	delay := c.config.Tuning.FailbackDelay
	return shard.PreferredOwner == to.ID() && shard.Ready &&
		!to.IsUnreachable() && to.IsHealthyFor(delay) &&
		c.loop.Now()-shard.OwnershipChangedAt > delay &&
		c.failbackRelievesLoad(shard)
}

// failbackRelievesLoad tells whether handing a shard back would take work off this
// controller that it does beside other work. A shard that has all the work would
// only change owners: its machines and users would wait for that for nothing.
func (c *Controller) failbackRelievesLoad(returned *state.Shard) bool {
	if isIdle(returned) {
		return true
	}
	for _, other := range c.state.Shards {
		if other != returned && other.Owned && !isIdle(other) {
			return true
		}
	}
	return false
}

// isIdle tells whether a shard has neither jobs nor machines.
func isIdle(shard *state.Shard) bool { return len(shard.Jobs)+len(shard.Machines) == 0 }

// reviewShards considers for each shard whether this controller should acquire it.
func (c *Controller) reviewShards() {
	for _, shard := range c.state.Shards {
		c.considerAcquire(shard)
	}
}
