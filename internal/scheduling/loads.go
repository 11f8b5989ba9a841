package scheduling

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/membership"
	"stairrelay/internal/state"
)

// loadsInterval is how long the loads of the owned shards are kept: many ask for them
// within it.
const loadsInterval = second / 4

// ShardLoads tells what the machines of each shard are, and what its jobs could use.
// Those of the owned shards are kept for a while, but not once the owned shards have
// changed.
type ShardLoads struct {
	*shared
	queue *JobQueue

	owned            []fairshare.ShardLoad
	computedAt       cluster.Time // when those of the owned shards were computed; 0: never
	ownershipChanges int          // of the owned shards until then
}

// Owned describes the owned shards.
func (l *ShardLoads) Owned() []fairshare.ShardLoad {
	now, changes := l.loop.Now(), l.deps.Ownership.Changes()
	if l.computedAt > 0 && now-l.computedAt < loadsInterval && l.ownershipChanges == changes {
		return l.owned
	}
	l.computedAt, l.ownershipChanges = now, changes
	var loads []fairshare.ShardLoad
	for _, shard := range l.state.Shards {
		if shard.Owned && shard.Ready {
			loads = append(loads, l.compute(shard))
		}
	}
	l.owned = loads
	return loads
}

// All is the load of every shard as far as it is known.
func (l *ShardLoads) All() fairshare.Snapshot {
	loads := fairshare.Snapshot{}
	for _, peer := range l.deps.Peers.Peers() {
		if peer.IsUnreachable() || peer.PingAge() >= membership.MaxPingAge {
			continue
		}
		for _, load := range peer.LastPing().ShardLoads {
			if int(load.Shard) >= 0 && int(load.Shard) < len(l.state.Shards) && l.state.Shards[load.Shard].Owner == peer.ID() {
				loads[load.Shard] = load
			}
		}
	}
	for _, load := range l.Owned() {
		loads[load.Shard] = load
	}
	return loads
}

// compute describes an owned shard.
func (l *ShardLoads) compute(shard *state.Shard) fairshare.ShardLoad {
	load := fairshare.ShardLoad{Shard: shard.ID}
	l.deps.CountMachineScans(shard.Machines)
	for _, machine := range shard.Machines {
		if machine.Releasing || machine.Draining {
			continue
		}
		if machine.Booting {
			load.Booting += l.machineCapacity(machine).CPU
			continue
		}
		load.Available += l.machineCapacity(machine).CPU
		for _, assignment := range machine.Assignments {
			if assignment.IsLive() && assignment.Job.IsActive() {
				load.Demand[assignment.Job.EffectivePriority] += assignment.ResourceRequest.CPU
			}
		}
	}
	for _, pending := range l.queue.PendingWork(shard) {
		priority := pending.Job.EffectivePriority
		if pending.Starving {
			priority = max(priority, cluster.Urgent) // it goes before all else
		}
		load.Demand[priority] += pending.Job.Spec.ResourceRequest.CPU * cluster.Amount(pending.Count)
	}
	return load
}
