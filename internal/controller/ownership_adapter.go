package controller

import (
	"maps"
	"slices"

	"stairrelay/internal/membership"
	"stairrelay/internal/ownership"
	"stairrelay/internal/state"
)

// ownershipConfig is what the ownership of shards needs of the settings.
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

// ownershipPeers shows the other controllers to the ownership of shards.
type ownershipPeers struct{ *membership.Members }

// AppendAcknowledgements implements ownership.Peers.
func (p ownershipPeers) AppendAcknowledgements(acknowledgements []ownership.Acknowledgement) []ownership.Acknowledgement {
	for _, peer := range p.Peers() {
		acknowledgements = append(acknowledgements, ownership.Acknowledgement(peer.Acknowledgement()))
	}
	return acknowledgements
}

// shardStore loads acquired shards and drops lost ones.
type shardStore struct{ controller *Controller }

// LoadShard implements ownership.ShardStore.
func (s shardStore) LoadShard(shard *state.Shard) { s.controller.loadShard(shard) }

// DropShard implements ownership.ShardStore.
func (s shardStore) DropShard(shard *state.Shard) {
	c := s.controller
	for _, machine := range shard.Machines {
		c.inventory.DropMachine(machine)
	}
	for _, job := range shard.Jobs {
		c.jobs.Records.Abandon(job)
	}
	for _, id := range slices.Sorted(maps.Keys(c.state.Groups)) {
		if c.state.Groups[id].ShardID == shard.ID {
			delete(c.state.Groups, id)
		}
	}
}
