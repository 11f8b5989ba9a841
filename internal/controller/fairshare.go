package controller

import (
	"sort"

	"stairrelay/internal/scheduling"
	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"

	"stairrelay/internal/fairshare"
)

// Machines are split among the parts, but the need for them is not split
// evenly: package sharing says how much of all machines each part should have.
// This file tells it the parts' loads, lets a part that has more give machines
// up, and stops less important work.

// loadCache keeps the loads of the parts held here as last worked out: many ask
// for them within one interval.
//
// It is void once a part held here has changed.
type loadCache struct {
	loads            []fairshare.ShardLoad
	computedAt       cluster.Time // when they were worked out; 0: never
	ownershipChanges int          // of the parts held here until then
}

// isValid tells whether the loads are those of the parts held now, and new enough.
func (l *loadCache) isValid(now cluster.Time, changes int) bool {
	return l.computedAt > 0 && now-l.computedAt < second/4 && l.ownershipChanges == changes
}

// ownedShardLoads describes the parts held here.
func (c *Controller) ownedShardLoads() []fairshare.ShardLoad {
	if c.loadCache.isValid(c.loop.Now(), c.ownership.Changes()) {
		return c.loadCache.loads
	}
	c.loadCache.computedAt, c.loadCache.ownershipChanges = c.loop.Now(), c.ownership.Changes()
	var out []fairshare.ShardLoad
	for _, p := range c.state.Shards {
		if p.Owned && p.Ready {
			out = append(out, c.computeShardLoad(p))
		}
	}
	c.loadCache.loads = out
	return out
}

func (c *Controller) computeShardLoad(p *state.Shard) fairshare.ShardLoad {
	l := fairshare.ShardLoad{Shard: p.ID}
	c.counters.AddMachineScans(p.Machines)
	for _, m := range p.Machines {
		if m.Releasing || m.Draining {
			continue
		}
		if m.Booting {
			l.Booting += c.state.MachineTypes[m.MachineType].Capacity.CPU
			continue
		}
		l.Available += c.state.MachineTypes[m.MachineType].Capacity.CPU
		for _, a := range m.Assignments {
			if a.IsLive() && a.Job.IsActive() {
				l.Demand[a.Job.EffectivePriority] += a.ResourceRequest.CPU
			}
		}
	}
	for _, w := range c.scheduler.Queue.PendingWork(p) {
		prio := w.Job.EffectivePriority
		if w.Starving {
			prio = max(prio, cluster.Urgent) // it goes before all else
		}
		l.Demand[prio] += w.Job.Spec.ResourceRequest.CPU * cluster.Amount(w.Count)
	}
	return l
}

// allShardLoads is every part's load as far as it is known, by number.
func (c *Controller) allShardLoads() fairshare.Snapshot {
	out := fairshare.Snapshot{}
	for _, peer := range c.members.Peers() {
		if peer.IsUnreachable() || peer.PingAge() >= membership.PingFreshness {
			continue
		}
		for _, l := range peer.LastPing().ShardLoads {
			if int(l.Shard) >= 0 && int(l.Shard) < len(c.state.Shards) && c.state.Shards[l.Shard].Owner == peer.ID() {
				out[l.Shard] = l
			}
		}
	}
	for _, l := range c.ownedShardLoads() {
		out[l.Shard] = l
	}
	return out
}

// cordonSurplusMachines picks the machines that the parts held here give up. They get
// nothing new; once empty they are offered as idle machines.
func (c *Controller) cordonSurplusMachines() {
	c.expireOffers()
	plan := fairshare.NewPlan(c.allShardLoads())
	for _, p := range c.state.Shards {
		if load, known := plan.Loads[p.ID]; known && p.Owned && p.Ready {
			c.cordonSurplusOf(p, load, plan)
		}
	}
}

// cordonSurplusOf picks the machines that one part gives up.
func (c *Controller) cordonSurplusOf(p *state.Shard, load fairshare.ShardLoad, plan *fairshare.Plan) {
	spare := plan.Spare(p.ID)
	ms := c.uncordonMachines(p, spare)
	c.sortByRemainingTime(ms)
	top := plan.ShortfallPriority(p.ID)
	for _, i := range fairshare.PickWithin(c.machineCPUs(ms), spare) {
		ms[i].Cordoned = true
		c.evictForPriority(ms[i], top)
	}
	if plan.TotalShortfall <= 0 {
		c.selectScaleInCandidates(p, ms, load)
	} else {
		c.offerIdleMachines(p, plan)
	}
}

// uncordonMachines takes back what was picked before, and returns the machines to
// pick from.
func (c *Controller) uncordonMachines(p *state.Shard, spare cluster.Amount) []*state.Machine {
	var ms []*state.Machine
	c.counters.AddMachineScans(p.Machines)
	for _, m := range p.Machines {
		if m.Cordoned && spare <= 0 {
			c.scheduler.Trigger.Request()
		}
		m.Cordoned, m.ScaleInCandidate = false, false
		if c.scheduler.Eligibility.IsSchedulable(m) {
			ms = append(ms, m)
		}
	}
	return ms
}

// sortByRemainingTime puts the machines first that will be free soonest.
func (c *Controller) sortByRemainingTime(ms []*state.Machine) {
	rest := map[*state.Machine]float64{}
	for _, m := range ms {
		for _, a := range m.Assignments {
			if a.IsLive() {
				rest[m] = max(rest[m], c.scheduler.RunTimes.ExpectedRemainingSeconds(a))
			}
		}
	}
	sort.SliceStable(ms, func(i, j int) bool { return rest[ms[i]] < rest[ms[j]] })
}

// machineCPUs lists the machines' CPUs.
func (c *Controller) machineCPUs(ms []*state.Machine) []cluster.Amount {
	out := make([]cluster.Amount, len(ms))
	for i, m := range ms {
		out[i] = c.state.MachineTypes[m.MachineType].Capacity.CPU
	}
	return out
}

// selectScaleInCandidates picks the machines that a part can do without, dearest first. They
// run empty and are returned, so that the work gathers on the cheaper ones.
func (c *Controller) selectScaleInCandidates(p *state.Shard, ms []*state.Machine, load fairshare.ShardLoad) {
	typical := c.typicalRequest(p)
	sort.SliceStable(ms, func(i, j int) bool { return c.costPerUsefulCPU(ms[i], typical) > c.costPerUsefulCPU(ms[j], typical) })
	for _, i := range fairshare.PickWithin(c.machineCPUs(ms), load.Surplus(c.config.Tuning.SpareCapacityShare)) {
		ms[i].Cordoned, ms[i].ScaleInCandidate = true, true
	}
}

// costPerUsefulCPU is a machine's price per CPU that work of the present kind can use:
// a small machine wastes what is left beside tasks that don't divide it.
func (c *Controller) costPerUsefulCPU(m *state.Machine, need cluster.Resources) float64 {
	t := c.state.MachineTypes[m.MachineType]
	if t.Capacity.CPU == 0 {
		return 0
	}
	price := t.HourlyPrice(m.Spot)
	if need.CPU == 0 {
		return price / float64(t.Capacity.CPU)
	}
	return price / float64(need.CPU*cluster.Amount(scheduling.TasksPerMachine(t.Capacity, need)))
}

// typicalRequest is what a somewhat larger than average task of a part takes.
func (c *Controller) typicalRequest(p *state.Shard) cluster.Resources {
	var sum cluster.Resources
	var n cluster.Amount
	for _, j := range p.Jobs {
		if k := cluster.Amount(j.PendingCount() + j.AssignedCount); j.IsActive() && !j.Blocked && k > 0 {
			sum = sum.Plus(j.Spec.ResourceRequest.Times(int(k)))
			n += k
		}
	}
	if n == 0 {
		return cluster.Resources{}
	}
	return cluster.Resources{CPU: sum.CPU / n * 115 / 100, GPU: sum.GPU / n, Memory: sum.Memory / n * 115 / 100}
}

// evictForPriority empties a yielded machine of work that can save, when the work that
// other parts lack it for is more important.
func (c *Controller) evictForPriority(m *state.Machine, top cluster.Priority) {
	if top < cluster.Urgent {
		return
	}
	for _, a := range m.Assignments {
		if a.IsLive() && (a.Job.EffectivePriority >= top || a.Job.Spec.CheckpointSeconds == 0 || c.scheduler.Queue.IsPreemptionExempt(a.Job)) {
			return
		}
	}
	for _, a := range m.SortedAssignments() {
		if a.IsLive() && a.Phase == state.PhaseAcknowledged {
			c.reconciler.Stops.Preempt(m, a)
		}
	}
}

// canScaleOut holds back a part that has its share already while others lack
// theirs: what the cloud still has should go to them first.
func (c *Controller) canScaleOut(p *state.Shard) bool {
	if c.allShardLoads().CanScaleOutFirst(p.ID) {
		return true
	}
	if c.loop.Now()-p.LastScaleOutAt < 4*second {
		return false
	}
	p.LastScaleOutAt = c.loop.Now()
	return true
}
