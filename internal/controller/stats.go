package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// Counters count what happened since the last periodic log line.
type Counters struct {
	Heartbeats    int
	Submissions   int
	Queries       int
	Cancellations int
	CommandPushes int
	// MachineScans counts the machines that were looked at one by one, whatever for.
	MachineScans int
}

// AddCommandPush counts a call to a worker.
func (n *Counters) AddCommandPush() { n.CommandPushes++ }

// AddMachineScans counts a look at each of some machines.
func (n *Counters) AddMachineScans(machines []*state.Machine) { n.MachineScans += len(machines) }

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

func (u *capacityUsage) addMachine(m *state.Machine, cpu cluster.Amount) {
	if m.Booting {
		u.booting += cpu
		return
	}
	u.total += cpu
	if m.Spot {
		u.spot += cpu
	}
	if m.LiveTaskCount() == 0 {
		u.idle += cpu
	}
	for _, a := range m.Assignments {
		u.addTask(a)
	}
}

func (u *capacityUsage) addTask(a *state.Assignment) {
	switch {
	case a.Phase == state.PhaseEnded:
		u.ended += a.ResourceRequest.CPU
	case a.Phase == state.PhaseRecording:
		u.recording += a.ResourceRequest.CPU
	case a.Phase == state.PhaseReady:
		u.ready += a.ResourceRequest.CPU
	case a.RunningSince == 0:
		u.fetching += a.ResourceRequest.CPU
	default:
		u.running += a.ResourceRequest.CPU
	}
}

// capacityUsage sums up the parts held here.
func (c *Controller) capacityUsage() capacityUsage {
	var use capacityUsage
	for _, p := range c.state.Shards {
		for _, m := range p.Machines {
			use.addMachine(m, c.state.MachineTypes[m.MachineType].Capacity.CPU)
		}
		if !p.Owned || !p.Ready {
			continue
		}
		for _, w := range c.scheduler.Queue.PendingWork(p) {
			use.pending += w.Job.Spec.ResourceRequest.CPU * cluster.Amount(w.Count)
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
	for _, g := range c.state.Groups {
		groupBytes += g.RecordSize
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
		"groups", len(c.state.Groups),
		"group_bytes", groupBytes/max(len(c.state.Groups), 1),
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
		"cloud_calls", c.provisioner.Rate.TakeCallCount(),
		"visits", counts.MachineScans,
		"parts", c.ownedShardCount(),
		"stalled_parts", c.stalledShardCount(),
		"jobs", len(c.state.Jobs.Owned),
		"machines", len(c.state.Machines),
		"queue", c.writeQueue.Depth(),
		"inflight", c.writeQueue.InFlight())
}

// ownedShardCount counts the parts held here.
func (c *Controller) ownedShardCount() int {
	held := 0
	for _, p := range c.state.Shards {
		if p.Owned {
			held++
		}
	}
	return held
}
