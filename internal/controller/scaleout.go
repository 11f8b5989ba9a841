package controller

import (
	"maps"
	"slices"
	"sort"

	"stairrelay/internal/scheduling"
	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
)

// scheduleScaleOut looks for machines before the next regular sweep: boots take long,
// and every second that a request waits is added to them.
func (c *Controller) scheduleScaleOut() {
	if c.scaleOutScheduled {
		return
	}
	c.scaleOutScheduled = true
	c.loop.After(c.processHealth.StretchDelay(100*millisecond), func() {
		c.scaleOutScheduled = false
		c.runScaleOut()
	})
}

// runScaleOut finds machines for work that has none: first what is coming
// already, then other parts' idle machines, then the cloud's.
func (c *Controller) runScaleOut() {
	c.provisioner.List.Poll()
	c.cordonSurplusMachines()
	for _, p := range c.state.Shards {
		if p.Owned && p.Ready && len(c.state.MachineTypes) > 0 && !c.writeQueue.IsUnavailableFor(second) {
			c.scaleOutShard(p)
		}
	}
}

func (c *Controller) scaleOutShard(p *state.Shard) {
	work := c.scheduler.Queue.PendingWork(p)
	if len(work) == 0 {
		return
	}
	// What the usable machines have free is about to be used.
	c.scheduler.PackFreeCapacity(p, work)
	c.counters.AddMachineScans(p.Machines)
	for _, m := range p.Machines {
		if !m.Booting && !m.TokenAcknowledged && !m.Releasing && c.loop.Now()-m.OwnedSince < 5*second {
			work.Pack(c.state.MachineTypes[m.MachineType].Capacity.Minus(m.UsedResources()), func(j *state.Job) bool { return c.scheduler.Eligibility.IsAllowedOn(j, m) })
		}
	}
	// Another part's idle machine serves at once, a booting one much later.
	c.acceptOffers(p, work)
	c.counters.AddMachineScans(p.Machines)
	for _, m := range p.Machines {
		if m.Releasing || m.Draining || c.scheduler.Eligibility.IsSchedulable(m) {
			continue
		}
		if m.Booting {
			work.Pack(c.state.MachineTypes[m.MachineType].Capacity.Minus(m.UsedResources()), func(j *state.Job) bool { return c.scheduler.Eligibility.IsAllowedOn(j, m) })
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.ProvisioningRequests)) {
		r := p.ProvisioningRequests[name]
		for range r.ExpectedMachines() {
			work.Pack(c.state.MachineTypes[r.Option.Type].Capacity, func(j *state.Job) bool { return c.scheduler.Eligibility.IsOptionAllowed(j, r.Option) })
		}
	}
	if c.canScaleOut(p) {
		c.requestMachines(p, work)
	}
}

// idleMachines lists the machines of a part that another may take.
func (c *Controller) idleMachines(p *state.Shard) []*state.Machine {
	var l []*state.Machine
	if !p.Owned || !p.Ready {
		return nil
	}
	c.counters.AddMachineScans(p.Machines)
	for _, m := range p.Machines {
		if c.scheduler.Eligibility.IsSchedulable(m) && len(m.Assignments) == 0 && m.RecordedTaskCount == 0 && !m.Group.WriteInFlight && m.Group.Offer == nil && m.Address != "" &&
			len(m.UnrecordedToStop) == 0 && c.loop.Now()-m.IdleSince > second/2 {
			l = append(l, m)
		}
	}
	return l
}

// requestMachines asks the cloud, cheapest per task first.
func (c *Controller) requestMachines(p *state.Shard, work scheduling.PendingWork) {
	flying := p.UnansweredRequests()
	for flying < 4 {
		var first *state.Job
		for _, w := range work {
			if w.Count > 0 {
				first = w.Job
				break
			}
		}
		if first == nil {
			return
		}
		opts := c.optionsByCost(p, first)
		if len(opts) > 0 && first.Spec.Spot && !opts[0].Spot && !c.isOnDemandWorthwhile(p, work, opts[0]) {
			opts = nil
		}
		if len(opts) == 0 {
			for i := range work { // nothing to be had for it now
				if work[i].Job == first {
					work[i].Count = 0
				}
			}
			continue
		}
		o := opts[0]
		n := 0
		for n < min(50, c.inventory.TargetGroupSize()) {
			if work.Pack(c.state.MachineTypes[o.Type].Capacity, func(j *state.Job) bool { return c.scheduler.Eligibility.IsOptionAllowed(j, o) }) == 0 {
				break
			}
			n++
		}
		if n == 0 {
			return
		}
		if !c.provisioner.Rate.TryCall() {
			return
		}
		flying++
		c.provisioner.Requests.Create(p, o, n)
	}
}

// isOnDemandWorthwhile tells whether work that may use spot machines, of which there
// are none now, should have an ordinary one at several times the price: only
// if what is there and coming would not be through with it by the time that
// the machine is up.
func (c *Controller) isOnDemandWorthwhile(p *state.Shard, work scheduling.PendingWork, o state.ProvisioningOption) bool {
	t := c.state.MachineTypes[o.Type]
	if t.OnDemandPrice < 1.5*t.SpotPrice {
		return true
	}
	// A part with few machines gets its share of the others' as they empty.
	var mine, all cluster.Amount
	loads := c.allShardLoads()
	for q, l := range loads {
		all += l.Available + l.Booting
		if q == p.ID {
			mine = l.Available + l.Booting
		}
	}
	have := float64(max(mine, all/cluster.Amount(max(len(loads), 1)))) / 1e6
	rest := 0.0
	for _, w := range work {
		rest += float64(w.Count) * float64(w.Job.Spec.ResourceRequest.CPU) / 1e6 * c.scheduler.RunTimes.ExpectedSeconds(w.Job)
	}
	return rest > have*t.BootSeconds
}

func (c *Controller) optionsByCost(p *state.Shard, j *state.Job) []state.ProvisioningOption {
	type priced struct {
		o    state.ProvisioningOption
		cost float64
	}
	var l []priced
	for _, name := range slices.Sorted(maps.Keys(c.state.MachineTypes)) {
		t := c.state.MachineTypes[name]
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := state.ProvisioningOption{Type: name, Zone: z, Spot: spot}
				if !c.scheduler.Eligibility.IsOptionAllowed(j, o) || p.IsBackedOff(o, c.loop.Now()) {
					continue
				}
				l = append(l, priced{o, t.HourlyPrice(spot) / float64(scheduling.TasksPerMachine(t.Capacity, j.Spec.ResourceRequest))})
			}
		}
	}
	sort.SliceStable(l, func(a, b int) bool { return l[a].cost < l[b].cost })
	out := make([]state.ProvisioningOption, len(l))
	for i := range l {
		out[i] = l[i].o
	}
	return out
}
