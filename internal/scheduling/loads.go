package scheduling

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/membership"
	"stairrelay/internal/state"
)

// loadsInterval is how long the loads of the owned shards are cached.
const loadsInterval = second / 4

// ShardLoads computes the capacity and the demand of each shard. The loads of the owned
// shards are cached until loadsInterval has passed or the set of owned shards changes.
type ShardLoads struct {
	*shared
	queue *JobQueue

	owned            []fairshare.ShardLoad
	computedAt       cluster.Time // when owned was computed, or 0 if it was not yet
	ownershipChanges int          // value of Ownership.Changes when owned was computed
}

// Owned returns the loads of the owned shards that are ready.
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

// All returns the load of every shard that is owned by this controller or by a reachable
// peer with a recent ping.
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

// compute returns the load of an owned shard. Machines that are being released or drained
// don't count as capacity, and their tasks don't count as demand.
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
		machineCPU, maxTasks := l.machineCapacity(machine).CPU, machine.MaxTasks()
		load.Available += machineCPU
		for _, assignment := range machine.Assignments {
			if assignment.IsLive() && assignment.Job.IsActive() {
				load.Demand[assignment.Job.EffectivePriority] += cluster.TaskCPU(assignment.ResourceRequest.CPU, machineCPU, maxTasks)
			}
		}
	}
	for _, pending := range l.queue.PendingWork(shard) {
		priority := pending.Job.EffectivePriority
		if pending.Starving {
			priority = max(priority, cluster.Urgent) // scheduled before all other work
		}
		load.Demand[priority] += l.pendingTaskCPU(&pending.Job.Spec) * cluster.Amount(pending.Count)
	}
	return load
}

// pendingTaskCPU returns the CPUs that a pending task of a job will occupy on a machine of
// the type on which it occupies the fewest.
func (l *ShardLoads) pendingTaskCPU(spec *cluster.JobSpec) cluster.Amount {
	fewest, found := spec.ResourceRequest.CPU, false
	for _, machineType := range l.state.MachineTypes {
		if !spec.AllowsMachineType(machineType, "") {
			continue
		}
		if occupied := machineType.TaskCPU(spec.ResourceRequest); !found || occupied < fewest {
			fewest, found = occupied, true
		}
	}
	return fewest
}
