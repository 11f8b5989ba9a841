package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/jobs"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
)

func (c *Controller) membershipConfig() membership.Config {
	tuning := &c.config.Tuning
	return membership.Config{
		Self:                c.config.Self,
		Nodes:               c.config.Nodes,
		InstanceID:          c.config.InstanceID,
		FeatureLevel:        jobs.DependencyFeatureLevel,
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

// ownedFleet provides the machines of the owned shards to membership.WorkerReachability.
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

// membershipHost forwards calls from package membership to the components that handle
// shards, transfer offers and cloud demand.
type membershipHost struct{ controller *Controller }

// DescribeShards implements membership.Host.
func (h membershipHost) DescribeShards(to *membership.Peer, ping *messages.Ping) {
	c := h.controller
	c.ownership.DescribeOwnership(to, ping)
	ping.TransferOffers = c.scheduler.Rebalancer.TransferOffers()
	ping.CloudDemand = c.provisioner.RateLimiter.Demand()
	ping.ShardLoads = c.scheduler.Loads.Owned()
}

// HandlePing implements membership.Host.
func (h membershipHost) HandlePing(from *membership.Peer, ping *messages.Ping) {
	c := h.controller
	c.scheduler.Rebalancer.ForgetWithdrawnOffers(from.ID(), ping.TransferOffers)
	if len(ping.TransferOffers) > 0 {
		c.provisioner.ScaleOut.Schedule()
	}
	c.ownership.ApplyPing(from.ID(), ping)
}

// HandleReachabilityChange implements membership.Host.
func (h membershipHost) HandleReachabilityChange() {
	h.controller.provisioner.RateLimiter.UpdateShare()
}

// ReviewOwnership implements membership.Host.
func (h membershipHost) ReviewOwnership() { h.controller.ownership.AcquireEligibleShards() }
