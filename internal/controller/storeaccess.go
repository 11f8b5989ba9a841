package controller

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
	"stairrelay/internal/ratelimit"
	"stairrelay/internal/writequeue"
)

func (c *Controller) writeQueueConfig() writequeue.Config {
	return writequeue.Config{
		InstanceID:      c.config.InstanceID,
		RequestRPS:      c.config.StoreRPS,
		WriteRPS:        c.config.WriteRPS,
		CurrentWriteRPS: c.config.CurrentWriteRPS,
		BudgetShare:     c.config.Tuning.RateBudgetShare,
		MaxTxnOps:       c.config.MaxTxnOps,
		MaxValueBytes:   c.config.MaxValueBytes,
		Controllers:     len(c.config.Nodes),
		ShareByDemand: func(limit, demand float64, liveControllers int) float64 {
			return c.shareByDemand(limit, demand, liveControllers, func(ping *messages.Ping) float64 { return ping.WriteDemand })
		},
	}
}

// shardClaims provides the claims of the shards to the write queue and handles the
// results of the queue's transactions.
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

// probeStore reads a claim record from the store if no other request is in flight and
// either requests are failing or a peer has recently reported a failure of the store. The
// read shows when the store has recovered, or distinguishes a partition of that peer from
// an outage. An idle controller would otherwise send no request to the store for minutes.
func (c *Controller) probeStore() {
	if c.writeQueue.Health.ShouldProbe(c.loop.Now()) {
		c.ownership.RereadClaim(c.state.Shards[max(slices.Index(c.config.Nodes, c.config.Self), 0)])
	}
}

// shareByDemand returns this controller's share of a rate limit that is divided among the
// live controllers by demand. reported returns the demand in a peer's ping.
func (c *Controller) shareByDemand(limit, demand float64, liveControllers int, reported func(*messages.Ping) float64) float64 {
	if c.members == nil { // writequeue.New calls this before the members are created
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
