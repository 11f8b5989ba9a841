package core

// Counters count what happened since the last periodic log line.
type Counters struct {
	Kinds      [prios]int // puts by priority of their writes
	Reports    int
	Submits    int
	Queries    int
	Cancels    int
	Orders     int
	Txns       int
	Puts       int
	Conflicts  int
	Gets       int
	PeerCalls  int
	CloudCalls int
	// Visits counts the machines that were looked at one by one, whatever for.
	Visits int
}

// visiting counts a look at each of so many machines.
func (n *Counters) visiting(machines []*machine) { n.Visits += len(machines) }

// capacityUse sums up what the machines of all parts have and what is done with
// it, in processors.
type capacityUse struct {
	room      Amount // of machines that are up
	spot      Amount
	idle      Amount
	booting   Amount
	recording Amount // of tasks, by their phase
	ready     Amount
	fetching  Amount
	running   Amount
	ended     Amount
	waiting   Amount // of tasks without a machine
}

func (u *capacityUse) addMachine(m *machine, cpu Amount) {
	if m.booting {
		u.booting += cpu
		return
	}
	u.room += cpu
	if m.spot {
		u.spot += cpu
	}
	if m.liveTasks() == 0 {
		u.idle += cpu
	}
	for _, a := range m.assigns {
		u.addTask(a)
	}
}

func (u *capacityUse) addTask(a *assign) {
	switch {
	case a.phase == aEnded:
		u.ended += a.need.CPU
	case a.phase == aRecording:
		u.recording += a.need.CPU
	case a.phase == aReady:
		u.ready += a.need.CPU
	case a.runAt == 0:
		u.fetching += a.need.CPU
	default:
		u.running += a.need.CPU
	}
}

// capacityUse sums up the parts held here.
func (c *Core) capacityUse() capacityUse {
	var use capacityUse
	for _, p := range c.parts {
		for _, m := range p.machines {
			use.addMachine(m, c.types[m.typ].Cap.CPU)
		}
		if !p.held || !p.ready {
			continue
		}
		for _, w := range c.unplaced(p) {
			use.waiting += w.job.spec.Need.CPU * Amount(w.tasks)
		}
	}
	return use
}

// logStats writes the periodic log lines.
func (c *Core) logStats() {
	counts := c.counters
	c.counters = Counters{}
	use := c.capacityUse()
	groupBytes := 0
	for _, g := range c.groups {
		groupBytes += g.size
	}
	cpus := func(a Amount) int { return int(a / 1_000_000) }
	c.logf(LogInfo, "load",
		"cpus", cpus(use.room),
		"spot", cpus(use.spot),
		"idle", cpus(use.idle),
		"running", cpus(use.running),
		"fetching", cpus(use.fetching),
		"ready", cpus(use.ready),
		"recording", cpus(use.recording),
		"ended", cpus(use.ended),
		"waiting", cpus(use.waiting),
		"booting", cpus(use.booting),
		"groups", len(c.groups),
		"group_bytes", groupBytes/max(len(c.groups), 1),
		"puts_share", int(c.writer.puts.Rate()*10)/10)
	c.logf(LogInfo, "stats",
		"reports", counts.Reports,
		"submits", counts.Submits,
		"queries", counts.Queries,
		"cancels", counts.Cancels,
		"orders", counts.Orders,
		"txns", counts.Txns,
		"puts", counts.Puts,
		"claims", counts.Kinds[prioClaim],
		"rentals", counts.Kinds[prioRent],
		"accepts", counts.Kinds[prioAccept],
		"starts", counts.Kinds[prioStart],
		"outcomes", counts.Kinds[prioDone],
		"lazy", counts.Kinds[prioLazy],
		"conflicts", counts.Conflicts,
		"gets", counts.Gets,
		"peer_calls", counts.PeerCalls,
		"cloud_calls", counts.CloudCalls,
		"visits", counts.Visits,
		"parts", c.heldParts(),
		"stalled_parts", c.stalledParts(),
		"jobs", len(c.jobs.held),
		"machines", len(c.machines),
		"queue", c.writer.depth(),
		"inflight", c.writer.inflight)
}

// heldParts counts the parts held here.
func (c *Core) heldParts() int {
	held := 0
	for _, p := range c.parts {
		if p.held {
			held++
		}
	}
	return held
}
