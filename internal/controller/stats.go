package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// Counters count what happened since the last periodic log line.
type Counters struct {
	Heartbeats    int
	Submissions   int
	Queries       int
	Cancellations int
	CommandPushes int
	CloudCalls    int
	// MachineScans counts the machines that were looked at one by one, whatever for.
	MachineScans int
}

// addMachineScans counts a look at each of so many machines.
func (n *Counters) addMachineScans(machines []*machine) { n.MachineScans += len(machines) }

// capacityUsage sums up what the machines of all parts have and what is done with
// it, in processors.
type capacityUsage struct {
	total     cluster.Amount // of machines that are up
	spot      cluster.Amount
	idle      cluster.Amount
	booting   cluster.Amount
	recording cluster.Amount // of tasks, by their phase
	ready     cluster.Amount
	fetching  cluster.Amount
	running   cluster.Amount
	ended     cluster.Amount
	pending   cluster.Amount // of tasks without a machine
}

func (u *capacityUsage) addMachine(m *machine, cpu cluster.Amount) {
	if m.booting {
		u.booting += cpu
		return
	}
	u.total += cpu
	if m.spot {
		u.spot += cpu
	}
	if m.liveTaskCount() == 0 {
		u.idle += cpu
	}
	for _, a := range m.assignments {
		u.addTask(a)
	}
}

func (u *capacityUsage) addTask(a *assignment) {
	switch {
	case a.phase == phaseEnded:
		u.ended += a.resourceRequest.CPU
	case a.phase == phaseRecording:
		u.recording += a.resourceRequest.CPU
	case a.phase == phaseReady:
		u.ready += a.resourceRequest.CPU
	case a.runningSince == 0:
		u.fetching += a.resourceRequest.CPU
	default:
		u.running += a.resourceRequest.CPU
	}
}

// capacityUsage sums up the parts held here.
func (c *Controller) capacityUsage() capacityUsage {
	var use capacityUsage
	for _, p := range c.shards {
		for _, m := range p.machines {
			use.addMachine(m, c.machineTypes[m.machineType].Capacity.CPU)
		}
		if !p.owned || !p.ready {
			continue
		}
		for _, w := range c.listPendingWork(p) {
			use.pending += w.job.spec.ResourceRequest.CPU * cluster.Amount(w.tasks)
		}
	}
	return use
}

// logStats writes the periodic log lines.
func (c *Controller) logStats() {
	counts := c.counters
	c.counters = Counters{}
	writes := c.writeQueue.TakeCounters()
	use := c.capacityUsage()
	groupBytes := 0
	for _, g := range c.machineGroups {
		groupBytes += g.recordSize
	}
	cpus := func(a cluster.Amount) int { return int(a / 1_000_000) }
	c.loop.Log(messages.LogInfo, "load",
		"cpus", cpus(use.total),
		"spot", cpus(use.spot),
		"idle", cpus(use.idle),
		"running", cpus(use.running),
		"fetching", cpus(use.fetching),
		"ready", cpus(use.ready),
		"recording", cpus(use.recording),
		"ended", cpus(use.ended),
		"waiting", cpus(use.pending),
		"booting", cpus(use.booting),
		"groups", len(c.machineGroups),
		"group_bytes", groupBytes/max(len(c.machineGroups), 1),
		"puts_share", int(c.writeQueue.PutBudget().Rate()*10)/10)
	c.loop.Log(messages.LogInfo, "stats",
		"reports", counts.Heartbeats,
		"submits", counts.Submissions,
		"queries", counts.Queries,
		"cancels", counts.Cancellations,
		"orders", counts.CommandPushes,
		"txns", writes.Transactions,
		"puts", writes.Puts,
		"claims", writes.PutsByPriority[writequeue.Acquire],
		"rentals", writes.PutsByPriority[writequeue.ScaleOut],
		"accepts", writes.PutsByPriority[writequeue.Admit],
		"starts", writes.PutsByPriority[writequeue.Start],
		"outcomes", writes.PutsByPriority[writequeue.Outcome],
		"lazy", writes.PutsByPriority[writequeue.Background],
		"conflicts", writes.Conflicts,
		"gets", writes.Reads,
		"peer_calls", c.members.TakeCallCount(),
		"cloud_calls", counts.CloudCalls,
		"visits", counts.MachineScans,
		"parts", c.ownedShardCount(),
		"stalled_parts", c.stalledShardCount(),
		"jobs", len(c.jobs.owned),
		"machines", len(c.machines),
		"queue", c.writeQueue.Depth(),
		"inflight", c.writeQueue.InFlight())
}

// ownedShardCount counts the parts held here.
func (c *Controller) ownedShardCount() int {
	held := 0
	for _, p := range c.shards {
		if p.owned {
			held++
		}
	}
	return held
}
