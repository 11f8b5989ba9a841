package controller

import (
	"stairrelay/internal/ownership"
	"stairrelay/internal/state"
)

func (c *Controller) ownershipConfig() ownership.Config {
	return ownership.Config{
		Self:           c.config.Self,
		Nodes:          c.config.Nodes,
		InstanceID:     c.config.InstanceID,
		CancelDeadline: c.config.CancelDeadline,
		WorkerLease:    c.config.WorkerLease,
		FailbackDelay:  c.config.Tuning.FailbackDelay,
	}
}

// shardLoader loads the records of acquired shards and drops the state of shards that are
// no longer owned.
type shardLoader struct{ controller *Controller }

// LoadShard implements ownership.ShardLoader and inventory.Shards.
func (s shardLoader) LoadShard(shard *state.Shard) { s.controller.loadShard(shard) }

// DropShard implements ownership.ShardLoader.
func (s shardLoader) DropShard(shard *state.Shard) { s.controller.inventory.DropShard(shard) }
