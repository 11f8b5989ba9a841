package core

import (
	"sort"

	"stairrelay/internal/sharing"
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
	loads   []PartLoad
	at      Time // when they were worked out; 0: never
	changes int  // of the parts held here until then
}

// valid tells whether the loads are those of the parts held now, and new enough.
func (l *loadCache) valid(now Time, changes int) bool {
	return l.at > 0 && now-l.at < second/4 && l.changes == changes
}

// loads describes the parts held here.
func (c *Core) loads() []PartLoad {
	if c.loadCache.valid(c.now, c.holdingChanges) {
		return c.loadCache.loads
	}
	c.loadCache.at, c.loadCache.changes = c.now, c.holdingChanges
	var out []PartLoad
	for _, p := range c.parts {
		if p.held && p.ready {
			out = append(out, c.loadOf(p))
		}
	}
	c.loadCache.loads = out
	return out
}

func (c *Core) loadOf(p *part) PartLoad {
	l := PartLoad{Part: p.id}
	c.counters.visiting(p.machines)
	for _, m := range p.machines {
		if m.returning || m.draining {
			continue
		}
		if m.booting {
			l.Coming += c.types[m.typ].Cap.CPU
			continue
		}
		l.Have += c.types[m.typ].Cap.CPU
		for _, a := range m.assigns {
			if a.live() && a.job.active() {
				l.Demand[a.job.prio] += a.need.CPU
			}
		}
	}
	for _, w := range c.unplaced(p) {
		prio := w.job.prio
		if w.first {
			prio = max(prio, Urgent) // it goes before all else
		}
		l.Demand[prio] += w.job.spec.Need.CPU * Amount(w.tasks)
	}
	return l
}

// allLoads is every part's load as far as it is known, by number.
func (c *Core) allLoads() sharing.Snapshot {
	out := sharing.Snapshot{}
	for _, id := range c.cfg.Nodes {
		if p := c.peers[id]; p != nil && !p.failed && c.now-p.pingAt < 3*second {
			for _, l := range p.ping.Loads {
				if int(l.Part) >= 0 && int(l.Part) < len(c.parts) && c.parts[l.Part].holder == id {
					out[l.Part] = l
				}
			}
		}
	}
	for _, l := range c.loads() {
		out[l.Part] = l
	}
	return out
}

// yieldMachines picks the machines that the parts held here give up. They get
// nothing new; once empty they are offered as idle machines.
func (c *Core) yieldMachines() {
	c.endOffers()
	plan := sharing.NewPlan(c.allLoads())
	for _, p := range c.parts {
		if load, known := plan.Loads[p.id]; known && p.held && p.ready {
			c.yieldOf(p, load, plan)
		}
	}
}

// yieldOf picks the machines that one part gives up.
func (c *Core) yieldOf(p *part, load PartLoad, plan *sharing.Plan) {
	spare := plan.Spare(p.id)
	ms := c.resetYield(p, spare)
	c.sortByRest(ms)
	top := plan.LackPriority(p.id)
	for _, i := range sharing.PickWithin(c.sizes(ms), spare) {
		ms[i].yield = true
		c.clearFor(ms[i], top)
	}
	if plan.Lack <= 0 {
		c.retire(p, ms, load)
	} else {
		c.offerIdle(p, plan)
	}
}

// resetYield takes back what was picked before, and returns the machines to
// pick from.
func (c *Core) resetYield(p *part, spare Amount) []*machine {
	var ms []*machine
	c.counters.visiting(p.machines)
	for _, m := range p.machines {
		if m.yield && spare <= 0 {
			c.placement.request()
		}
		m.yield, m.retire = false, false
		if c.usable(m) {
			ms = append(ms, m)
		}
	}
	return ms
}

// sortByRest puts the machines first that will be free soonest.
func (c *Core) sortByRest(ms []*machine) {
	rest := map[*machine]float64{}
	for _, m := range ms {
		for _, a := range m.assigns {
			if a.live() {
				rest[m] = max(rest[m], c.expectedRest(a))
			}
		}
	}
	sort.SliceStable(ms, func(i, j int) bool { return rest[ms[i]] < rest[ms[j]] })
}

// sizes lists the machines' CPUs.
func (c *Core) sizes(ms []*machine) []Amount {
	out := make([]Amount, len(ms))
	for i, m := range ms {
		out[i] = c.types[m.typ].Cap.CPU
	}
	return out
}

// retire picks the machines that a part can do without, dearest first. They
// run empty and are returned, so that the work gathers on the cheaper ones.
func (c *Core) retire(p *part, ms []*machine, load PartLoad) {
	typical := c.typicalNeed(p)
	sort.SliceStable(ms, func(i, j int) bool { return c.dearness(ms[i], typical) > c.dearness(ms[j], typical) })
	for _, i := range sharing.PickWithin(c.sizes(ms), load.Surplus(c.cfg.Tuning.SpareShare)) {
		ms[i].yield, ms[i].retire = true, true
	}
}

// dearness is a machine's price per CPU that work of the present kind can use:
// a small machine wastes what is left beside tasks that don't divide it.
func (c *Core) dearness(m *machine, need Res) float64 {
	t := c.types[m.typ]
	if t.Cap.CPU == 0 {
		return 0
	}
	price := t.price(m.spot)
	if need.CPU == 0 {
		return price / float64(t.Cap.CPU)
	}
	return price / float64(need.CPU*Amount(slotsFor(t.Cap, need)))
}

// typicalNeed is what a somewhat larger than average task of a part takes.
func (c *Core) typicalNeed(p *part) Res {
	var sum Res
	var n Amount
	for _, j := range p.jobs {
		if k := Amount(j.pending() + j.placed); j.active() && !j.waiting && k > 0 {
			sum = sum.Plus(j.spec.Need.Times(int(k)))
			n += k
		}
	}
	if n == 0 {
		return Res{}
	}
	return Res{CPU: sum.CPU / n * 115 / 100, GPU: sum.GPU / n, Mem: sum.Mem / n * 115 / 100}
}

// clearFor empties a yielded machine of work that can save, when the work that
// other parts lack it for is more important.
func (c *Core) clearFor(m *machine, top Priority) {
	if top < Urgent {
		return
	}
	for _, a := range m.assigns {
		if a.live() && (a.job.prio >= top || a.job.spec.CheckpntS == 0 || c.spared(a.job)) {
			return
		}
	}
	for _, a := range m.sorted() {
		if a.live() && a.phase == aSeen {
			c.stopTask(m, a, a.job.spec.SaveS+1)
		}
	}
}

// mayRent holds back a part that has its share already while others lack
// theirs: what the cloud still has should go to them first.
func (c *Core) mayRent(p *part) bool {
	if c.allLoads().RentsFirst(p.id) {
		return true
	}
	if c.now-p.rentedAt < 4*second {
		return false
	}
	p.rentedAt = c.now
	return true
}
