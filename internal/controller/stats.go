package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// Counters counts events since logStats last ran.
type Counters struct {
	Heartbeats    int
	Submissions   int
	Queries       int
	Cancellations int
	CommandPushes int
	// StartsInDoubt is the number of pushes with starts whose outcome is unknown.
	StartsInDoubt int
	// TokenAdvances is the number of fencing tokens that were raised without a write.
	TokenAdvances int
	// MachineScans is the number of machines that were passed to AddMachineScans. A
	// machine is counted in each call.
	MachineScans int
}

// AddCommandPush counts a push of commands to a worker.
func (n *Counters) AddCommandPush() { n.CommandPushes++ }

// AddStartInDoubt counts a push with starts whose outcome is unknown.
func (n *Counters) AddStartInDoubt() { n.StartsInDoubt++ }

// AddTokenAdvance counts a fencing token that was raised without a write.
func (n *Counters) AddTokenAdvance() { n.TokenAdvances++ }

// AddMachineScans counts one visit of each of the machines.
func (n *Counters) AddMachineScans(machines []*state.Machine) { n.MachineScans += len(machines) }

// capacityUsage is the CPU capacity of the machines of all owned shards, and its usage.
// The fields from recording on are the CPUs that tasks request.
type capacityUsage struct {
	total     cluster.Amount // of booted machines
	spot      cluster.Amount // of booted spot machines
	idle      cluster.Amount // of booted machines without live tasks
	booting   cluster.Amount // of booting machines
	recording cluster.Amount // in state.PhaseRecording
	ready     cluster.Amount // in state.PhaseReady
	fetching  cluster.Amount // in a later phase, but not running yet
	running   cluster.Amount
	ended     cluster.Amount // in state.PhaseEnded
	pending   cluster.Amount // not assigned to a machine
}

func (u *capacityUsage) addMachine(machine *state.Machine, cpu cluster.Amount) {
	if machine.Booting {
		u.booting += cpu
		return
	}
	u.total += cpu
	if machine.Spot {
		u.spot += cpu
	}
	if machine.LiveTaskCount() == 0 {
		u.idle += cpu
	}
	for _, assignment := range machine.Assignments {
		u.addTask(assignment)
	}
}

func (u *capacityUsage) addTask(assignment *state.Assignment) {
	switch {
	case assignment.Phase == state.PhaseEnded:
		u.ended += assignment.ResourceRequest.CPU
	case assignment.Phase == state.PhaseRecording:
		u.recording += assignment.ResourceRequest.CPU
	case assignment.Phase == state.PhaseReady:
		u.ready += assignment.ResourceRequest.CPU
	case assignment.RunningSince == 0:
		u.fetching += assignment.ResourceRequest.CPU
	default:
		u.running += assignment.ResourceRequest.CPU
	}
}

// capacityUsage returns the usage of the owned shards. Pending tasks of shards that are
// still loading are not included.
func (c *Controller) capacityUsage() capacityUsage {
	var usage capacityUsage
	for _, shard := range c.state.Shards {
		for _, machine := range shard.Machines {
			usage.addMachine(machine, c.state.MachineTypes[machine.MachineType].Capacity.CPU)
		}
		if !shard.Owned || !shard.Ready {
			continue
		}
		for _, work := range c.scheduler.Queue.PendingWork(shard) {
			usage.pending += work.Job.Spec.ResourceRequest.CPU * cluster.Amount(work.Count)
		}
	}
	return usage
}

// logStats writes the periodic log lines and resets the counters.
func (c *Controller) logStats() {
	counts := c.counters
	c.counters = Counters{}
	writes := c.writeQueue.TakeCounters()
	usage := c.capacityUsage()
	groupBytes := 0
	for _, group := range c.state.Groups {
		groupBytes += group.RecordSize
	}
	cpus := func(amount cluster.Amount) int { return int(amount / 1_000_000) }
	c.loop.Log(messages.LogInfo, "load",
		"cpus", cpus(usage.total),
		"spot", cpus(usage.spot),
		"idle", cpus(usage.idle),
		"running", cpus(usage.running),
		"fetching", cpus(usage.fetching),
		"ready", cpus(usage.ready),
		"recording", cpus(usage.recording),
		"ended", cpus(usage.ended),
		"pending", cpus(usage.pending),
		"booting", cpus(usage.booting),
		"groups", len(c.state.Groups),
		"group_bytes", groupBytes/max(len(c.state.Groups), 1),
		"puts_share", int(c.writeQueue.PutBudget().Rate()*10)/10)
	c.loop.Log(messages.LogInfo, "stats",
		"heartbeats", counts.Heartbeats,
		"submissions", counts.Submissions,
		"queries", counts.Queries,
		"cancellations", counts.Cancellations,
		"command_pushes", counts.CommandPushes,
		"starts_in_doubt", counts.StartsInDoubt,
		"token_raises", c.inventory.TakeTokenRaiseCount(),
		"token_advances", counts.TokenAdvances,
		"transactions", writes.Transactions,
		"puts", writes.Puts,
		"acquires", writes.PutsByPriority[writequeue.PriorityClaim],
		"scale_outs", writes.PutsByPriority[writequeue.PriorityScaleOut],
		"admissions", writes.PutsByPriority[writequeue.PriorityAdmission],
		"starts", writes.PutsByPriority[writequeue.PriorityStart],
		"outcomes", writes.PutsByPriority[writequeue.PriorityOutcome],
		"background", writes.PutsByPriority[writequeue.PriorityBackground],
		"conflicts", writes.Conflicts,
		"reads", writes.Reads,
		"peer_calls", c.members.TakeCallCount(),
		"cloud_calls", c.provisioner.RateLimiter.TakeCallCount(),
		"machine_scans", counts.MachineScans,
		"shards", c.ownedShardCount(),
		"stalled_shards", c.stalledShardCount(),
		"jobs", len(c.state.Jobs.Owned),
		"machines", len(c.state.Machines),
		"queue", c.writeQueue.Depth(),
		"in_flight", c.writeQueue.InFlight())
}

func (c *Controller) ownedShardCount() int {
	owned := 0
	for _, shard := range c.state.Shards {
		if shard.Owned {
			owned++
		}
	}
	return owned
}
