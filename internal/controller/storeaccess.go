package controller

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
	"stairrelay/internal/ratelimit"
	"stairrelay/internal/writequeue"
)

// writeQueueConfig is what the write queue needs of the settings.
func (c *Controller) writeQueueConfig() writequeue.Config {
	return writequeue.Config{
		InstanceID:      c.config.InstanceID,
		RequestRPS:      c.config.StoreRPS,
		WriteRPS:        c.config.WriteRPS,
		CurrentWriteRPS: c.config.CurrentWriteRPS,
		BudgetShare:     c.config.Tuning.RateBudgetShare,
		MaxTxnOps:       c.config.MaxTxnOps,
		Controllers:     len(c.config.Nodes),
		ShareByDemand: func(limit, demand float64, liveControllers int) float64 {
			return c.shareByDemand(limit, demand, liveControllers, func(ping *messages.Ping) float64 { return ping.WriteDemand })
		},
	}
}

// shardClaims shows the write queue who owns the shards.
type shardClaims struct{ controller *Controller }

// ClaimOf implements writequeue.ShardOwnership.
func (o shardClaims) ClaimOf(id cluster.ShardID) writequeue.Claim {
	shard := o.controller.state.Shards[id]
	return writequeue.Claim{Key: shard.Key(), ModRevision: shard.ModRevision, Owned: shard.Owned}
}

// HandleDeposed implements writequeue.ShardOwnership.
func (o shardClaims) HandleDeposed(id cluster.ShardID) { o.controller.ownership.HandleDeposed(id) }

// HandleStored implements writequeue.ShardOwnership.
func (o shardClaims) HandleStored(stored writequeue.StoredTransaction) {
	shard := o.controller.state.Shards[stored.ShardID]
	shard.StoredTransactions++
	shard.LastStoredRevision = max(shard.LastStoredRevision, stored.Revision)
	o.controller.ownership.RecordConfirmation(shard, stored.Claim, stored.SentAt)
}

// probeStore keeps in touch with the state service while it matters whether it
// serves this controller: while it does not, to know when it does again, and while
// another controller says that it has lost it, to tell a partition of that one from
// an outage. On an idle controller nothing else would ask for minutes.
func (c *Controller) probeStore() {
	if c.writeQueue.Health.ShouldProbe(c.loop.Now()) {
		c.ownership.RereadClaim(c.state.Shards[max(slices.Index(c.config.Nodes, c.config.Self), 0)])
	}
}

// shareByDemand returns this controller's share of a limit that all live ones share.
// reported picks the demand on it from another controller's ping.
func (c *Controller) shareByDemand(limit, demand float64, liveControllers int, reported func(*messages.Ping) float64) float64 {
	if c.members == nil { // the write queue is made first, and asks at once
		return ratelimit.ShareByDemand(limit, demand, liveControllers, nil)
	}
	peers := c.members.Peers()
	others := make([]ratelimit.Demand, 0, len(peers))
	for _, peer := range peers {
		if !peer.IsUnreachable() {
			known := peer.HasAnswered() && peer.PingAge() < membership.MaxPingAge
			others = append(others, ratelimit.Demand{Rate: reported(peer.LastPing()), Known: known})
		}
	}
	return ratelimit.ShareByDemand(limit, demand, liveControllers, others)
}
