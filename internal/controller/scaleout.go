package controller

import (
	"maps"
	"slices"
	"sort"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
)

// pendingWork is what a part's waiting tasks need beyond what it has.
type pendingWork struct {
	job      *state.Job
	tasks    int
	starving bool // a starving job's next task
}

// listPendingWork lists the waiting tasks that team limits would let run at once.
func (c *Controller) listPendingWork(p *state.Shard) []pendingWork {
	use := p.UsageByTeam()
	var l []pendingWork
	jobs, _ := c.queuedJobs(p)
	// A starving job's next task comes first here as it does when tasks are
	// placed: else no machine of the kind it needs would ever be rented.
	first := map[*state.Job]int{}
	for _, j := range jobs {
		if c.isStarving(j) {
			first[j] = 1
			use[j.Spec.Team] = use[j.Spec.Team].Plus(j.Spec.ResourceRequest)
			l = append(l, pendingWork{j, 1, true})
		}
	}
	for _, j := range jobs {
		need := j.Spec.ResourceRequest
		n := min(j.PendingCount()-first[j], c.state.Teams[j.Spec.Team].QuotaLimit.Minus(use[j.Spec.Team]).FitCount(cluster.Resources{CPU: need.CPU, GPU: need.GPU}))
		if n <= 0 {
			continue
		}
		use[j.Spec.Team] = use[j.Spec.Team].Plus(need.Times(n))
		l = append(l, pendingWork{job: j, tasks: n})
	}
	return l
}

// packWork takes from the waiting work what would fit into room.
func (c *Controller) packWork(work []pendingWork, room cluster.Resources, ok func(*state.Job) bool) int {
	took := 0
	for i := range work {
		w := &work[i]
		if w.tasks <= 0 || !w.job.Spec.ResourceRequest.FitsIn(room) || !ok(w.job) {
			continue
		}
		n := min(w.tasks, room.FitCount(w.job.Spec.ResourceRequest))
		room = room.Minus(w.job.Spec.ResourceRequest.Times(n))
		w.tasks -= n
		took += n
	}
	return took
}

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
	work := c.listPendingWork(p)
	if len(work) == 0 {
		return
	}
	// What the usable machines have free is about to be used.
	slots, _ := c.listFreeCapacity(p, 1)
	for i := range slots {
		s := &slots[i]
		c.packWork(work, s.available, func(j *state.Job) bool { return c.isAllowedOn(j, s.machine) && c.canUseMachine(j, s.machine) })
	}
	c.counters.AddMachineScans(p.Machines)
	for _, m := range p.Machines {
		if !m.Booting && !m.TokenAcknowledged && !m.Releasing && c.loop.Now()-m.OwnedSince < 5*second {
			c.packWork(work, c.state.MachineTypes[m.MachineType].Capacity.Minus(m.UsedResources()), func(j *state.Job) bool { return c.isAllowedOn(j, m) })
		}
	}
	// Another part's idle machine serves at once, a booting one much later.
	c.acceptOffers(p, work)
	c.counters.AddMachineScans(p.Machines)
	for _, m := range p.Machines {
		if m.Releasing || m.Draining || c.isSchedulable(m) {
			continue
		}
		if m.Booting {
			c.packWork(work, c.state.MachineTypes[m.MachineType].Capacity.Minus(m.UsedResources()), func(j *state.Job) bool { return c.isAllowedOn(j, m) })
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.ProvisioningRequests)) {
		r := p.ProvisioningRequests[name]
		for range r.ExpectedMachines() {
			c.packWork(work, c.state.MachineTypes[r.Option.Type].Capacity, func(j *state.Job) bool { return c.isOptionAllowed(j, r.Option) })
		}
	}
	if c.canScaleOut(p) {
		c.requestMachines(p, work)
	}
}

func (c *Controller) isOptionAllowed(j *state.Job, o state.ProvisioningOption) bool {
	if j.Spec.Colocate && !isOnlyZone(c.countTasksByZone(j), o.Zone) {
		return false
	}
	return (j.Spec.Spot || !o.Spot) && j.Spec.AllowsMachineType(c.state.MachineTypes[o.Type], o.Zone)
}

// idleMachines lists the machines of a part that another may take.
func (c *Controller) idleMachines(p *state.Shard) []*state.Machine {
	var l []*state.Machine
	if !p.Owned || !p.Ready {
		return nil
	}
	c.counters.AddMachineScans(p.Machines)
	for _, m := range p.Machines {
		if c.isSchedulable(m) && len(m.Assignments) == 0 && m.RecordedTaskCount == 0 && !m.Group.WriteInFlight && m.Group.Offer == nil && m.Address != "" &&
			len(m.UnrecordedToStop) == 0 && c.loop.Now()-m.IdleSince > second/2 {
			l = append(l, m)
		}
	}
	return l
}

// requestMachines asks the cloud, cheapest per task first.
func (c *Controller) requestMachines(p *state.Shard, work []pendingWork) {
	flying := p.UnansweredRequests()
	for flying < 4 {
		var first *state.Job
		for _, w := range work {
			if w.tasks > 0 {
				first = w.job
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
				if work[i].job == first {
					work[i].tasks = 0
				}
			}
			continue
		}
		o := opts[0]
		n := 0
		for n < min(50, c.inventory.TargetGroupSize()) {
			if c.packWork(work, c.state.MachineTypes[o.Type].Capacity, func(j *state.Job) bool { return c.isOptionAllowed(j, o) }) == 0 {
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
func (c *Controller) isOnDemandWorthwhile(p *state.Shard, work []pendingWork, o state.ProvisioningOption) bool {
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
		rest += float64(w.tasks) * float64(w.job.Spec.ResourceRequest.CPU) / 1e6 * c.expectedRunSeconds(w.job)
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
				if !c.isOptionAllowed(j, o) || p.IsBackedOff(o, c.loop.Now()) {
					continue
				}
				l = append(l, priced{o, t.HourlyPrice(spot) / float64(tasksPerMachine(t.Capacity, j.Spec.ResourceRequest))})
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

// tasksPerMachine counts how many tasks of a need an empty machine takes; at least
// one, as it divides prices.
func tasksPerMachine(room, need cluster.Resources) int { return max(room.FitCount(need), 1) }
