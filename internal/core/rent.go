package core

import (
	"encoding/json"
	"sort"
	"strings"

	"stairrelay/internal/grouprecord"
)

// rentOption is something that the cloud may have.
type rentOption struct {
	Type, Zone string
	Spot       bool
}

// rental is a recorded request; it is repeated under its name until its
// answer is known.
type rental struct {
	name  string
	opt   rentOption
	count int
	mark  Mark
	over  bool
	got   int // machines of an answer that is not recorded yet
	tries int
	group string // that its machines go into, when this claim has made it
	late  bool   // a late copy of its creation may yet be carried out
}

type rentalRecord struct {
	Part  Part   `json:"p"`
	Type  string `json:"f"`
	Zone  string `json:"y"`
	Spot  bool   `json:"s,omitempty"`
	Count int    `json:"n"`
	W     string `json:"w"`
}

func rentalKey(name string) string { return "rentals/" + name }

func (c *Core) learnRental(kv KV, p *part) {
	var rec rentalRecord
	if json.Unmarshal(kv.Value, &rec) != nil {
		c.broken(p, kv.Key, "rental record")
		return
	}
	if rec.Part != p.id {
		return
	}
	name := strings.TrimPrefix(kv.Key, "rentals/")
	r := &rental{name: name, opt: rentOption{rec.Type, rec.Zone, rec.Spot}, count: rec.Count, mark: kv.Mark}
	p.rentals[name] = r
	c.callRent(p, r)
}

// waitingWork is what a part's waiting tasks need beyond what it has.
type waitingWork struct {
	job   *job
	tasks int
	first bool // a starving job's next task
}

// unplaced lists the waiting tasks that team limits would let run at once.
func (c *Core) unplaced(p *part) []waitingWork {
	use := c.teamUse(p)
	var l []waitingWork
	jobs, _ := c.queued(p)
	// A starving job's next task comes first here as it does when tasks are
	// placed: else no machine of the kind it needs would ever be rented.
	first := map[*job]int{}
	for _, j := range jobs {
		if c.starving(j) {
			first[j] = 1
			use[j.spec.Team] = use[j.spec.Team].Plus(j.spec.Need)
			l = append(l, waitingWork{j, 1, true})
		}
	}
	for _, j := range jobs {
		need := j.spec.Need
		n := min(j.pending()-first[j], c.teams[j.spec.Team].Limit.Minus(use[j.spec.Team]).Holds(Res{CPU: need.CPU, GPU: need.GPU}))
		if n <= 0 {
			continue
		}
		use[j.spec.Team] = use[j.spec.Team].Plus(need.Times(n))
		l = append(l, waitingWork{job: j, tasks: n})
	}
	return l
}

// fill takes from the waiting work what would fit into room.
func (c *Core) fill(work []waitingWork, room Res, ok func(*job) bool) int {
	took := 0
	for i := range work {
		w := &work[i]
		if w.tasks <= 0 || !w.job.spec.Need.Fits(room) || !ok(w.job) {
			continue
		}
		n := min(w.tasks, room.Holds(w.job.spec.Need))
		room = room.Minus(w.job.spec.Need.Times(n))
		w.tasks -= n
		took += n
	}
	return took
}

// rentSoon looks for machines before the next regular sweep: boots take long,
// and every second that a request waits is added to them.
func (c *Core) rentSoon() {
	if c.rentScheduled {
		return
	}
	c.rentScheduled = true
	c.after(c.process.pause(100*milli), func() {
		c.rentScheduled = false
		c.rentSweep()
	})
}

// rentSweep finds machines for work that has none: first what is coming
// already, then other parts' idle machines, then the cloud's.
func (c *Core) rentSweep() {
	c.listCloud()
	c.yieldMachines()
	for _, p := range c.parts {
		if p.held && p.ready && len(c.types) > 0 && !c.storeLost(second) {
			c.rentFor(p)
		}
	}
}

func (c *Core) rentFor(p *part) {
	work := c.unplaced(p)
	if len(work) == 0 {
		return
	}
	// What the usable machines have free is about to be used.
	slots, _ := c.slots(p, 1)
	for i := range slots {
		s := &slots[i]
		c.fill(work, s.free, func(j *job) bool { return c.allowedOn(j, s.m) && c.mayUse(j, s.m) })
	}
	c.counters.visiting(p.machines)
	for _, m := range p.machines {
		if !m.booting && !m.acked && !m.returning && c.now-m.since < 5*second {
			c.fill(work, c.types[m.typ].Cap.Minus(m.used()), func(j *job) bool { return c.allowedOn(j, m) })
		}
	}
	// Another part's idle machine serves at once, a booting one much later.
	c.takeOffered(p, work)
	c.counters.visiting(p.machines)
	for _, m := range p.machines {
		if m.returning || m.draining || c.usable(m) {
			continue
		}
		if m.booting {
			c.fill(work, c.types[m.typ].Cap.Minus(m.used()), func(j *job) bool { return c.allowedOn(j, m) })
		}
	}
	for _, name := range sortedKeys(p.rentals) {
		r := p.rentals[name]
		n := r.count
		if r.over {
			n = r.got
		}
		for range n {
			c.fill(work, c.types[r.opt.Type].Cap, func(j *job) bool { return c.optionAllowed(j, r.opt) })
		}
	}
	if c.mayRent(p) {
		c.rentMore(p, work)
	}
}

func (c *Core) optionAllowed(j *job, o rentOption) bool {
	if j.spec.SamePlace && !onlyZone(c.zonesOf(j), o.Zone) {
		return false
	}
	return (j.spec.Spot || !o.Spot) && c.allows(&j.spec, c.types[o.Type], o.Zone)
}

// idleOf lists the machines of a part that another may take.
func (c *Core) idleOf(p *part) []*machine {
	var l []*machine
	if !p.held || !p.ready {
		return nil
	}
	c.counters.visiting(p.machines)
	for _, m := range p.machines {
		if c.usable(m) && len(m.assigns) == 0 && m.stored == 0 && !m.group.sent && m.group.offer == nil && m.addr != "" &&
			len(m.kill) == 0 && c.now-m.idleSince > second/2 {
			l = append(l, m)
		}
	}
	return l
}

// rentMore asks the cloud, cheapest per task first.
func (c *Core) rentMore(p *part, work []waitingWork) {
	flying := 0
	for _, r := range p.rentals {
		if !r.over {
			flying++
		}
	}
	for flying < 4 {
		var first *job
		for _, w := range work {
			if w.tasks > 0 {
				first = w.job
				break
			}
		}
		if first == nil {
			return
		}
		opts := c.options(p, first)
		if len(opts) > 0 && first.spec.Spot && !opts[0].Spot && !c.worthOrdinary(p, work, opts[0]) {
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
		for n < min(50, c.groupMachines()) {
			if c.fill(work, c.types[o.Type].Cap, func(j *job) bool { return c.optionAllowed(j, o) }) == 0 {
				break
			}
			n++
		}
		if n == 0 {
			return
		}
		if !c.mayCallCloud() {
			return
		}
		flying++
		c.startRental(p, o, n)
	}
}

// worthOrdinary tells whether work that may use spot machines, of which there
// are none now, should have an ordinary one at several times the price: only
// if what is there and coming would not be through with it by the time that
// the machine is up.
func (c *Core) worthOrdinary(p *part, work []waitingWork, o rentOption) bool {
	t := c.types[o.Type]
	if t.Price < 1.5*t.SpotPrice {
		return true
	}
	// A part with few machines gets its share of the others' as they empty.
	var mine, all Amount
	loads := c.allLoads()
	for q, l := range loads {
		all += l.Have + l.Coming
		if q == p.id {
			mine = l.Have + l.Coming
		}
	}
	have := float64(max(mine, all/Amount(max(len(loads), 1)))) / 1e6
	rest := 0.0
	for _, w := range work {
		rest += float64(w.tasks) * float64(w.job.spec.Need.CPU) / 1e6 * c.expectedRun(w.job)
	}
	return rest > have*t.BootS
}

func (c *Core) options(p *part, j *job) []rentOption {
	type priced struct {
		o    rentOption
		cost float64
	}
	var l []priced
	for _, name := range sortedKeys(c.types) {
		t := c.types[name]
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := rentOption{name, z, spot}
				if !c.optionAllowed(j, o) || c.now < p.refused[o] {
					continue
				}
				l = append(l, priced{o, t.price(spot) / float64(slotsFor(t.Cap, j.spec.Need))})
			}
		}
	}
	sort.SliceStable(l, func(a, b int) bool { return l[a].cost < l[b].cost })
	out := make([]rentOption, len(l))
	for i := range l {
		out[i] = l[i].o
	}
	return out
}

// slotsFor counts how many tasks of a need an empty machine takes; at least
// one, as it divides prices.
func slotsFor(room, need Res) int { return max(room.Holds(need), 1) }

// mostRefusals bounds how often the pause after a refusal doubles: each request
// costs two puts, a whole second's worth where the write rate is low.
const mostRefusals = 2

func (c *Core) startRental(p *part, o rentOption, n int) {
	r := &rental{name: c.rentalName(p), opt: o, count: n, group: c.groupName(p)}
	p.rentals[r.name] = r
	x := &write{
		part: p.id, keys: []string{rentalKey(r.name)},
		build: func(nonce string) ([]TxnOp, []Mark) {
			v, _ := json.Marshal(rentalRecord{p.id, o.Type, o.Zone, o.Spot, n, nonce})
			return []TxnOp{{rentalKey(r.name), v}}, []Mark{0}
		},
		// Once it is settled its key is absent again, and a late copy of this would
		// bring it back; a successor would then record its machines a second time.
		// The key of its machines' group stays until the next claim fences the copy.
		also:     []Cond{{"groups/" + r.group, 0}},
		conflict: func() { c.suspect(p, rentalKey(r.name), "name in use") },
	}
	x.ok = func(e Epoch) {
		r.mark, r.late = Mark(e), x.unsure
		c.callRent(p, r)
	}
	c.writer.add(prioRent, x)
}

func (c *Core) rentalCurrent(p *part, r *rental) bool { return p.held && p.rentals[r.name] == r }

func (c *Core) callRent(p *part, r *rental) {
	if !c.rentalCurrent(p, r) || r.over {
		return
	}
	if r.tries++; r.tries > 1 { // the first was counted when it was decided
		c.mustCallCloud()
	}
	c.emit(CloudRent{Name: r.name, Type: r.opt.Type, Zone: r.opt.Zone, Spot: r.opt.Spot, Count: r.count, Call: c.call(func(b any) {
		a := b.(RentReply)
		if !c.rentalCurrent(p, r) {
			return
		}
		switch a.Out {
		case OK:
			c.logf(LogDebug, "rented", "part", int(p.id), "type", r.opt.Type, "zone", r.opt.Zone, "spot", r.opt.Spot, "asked", r.count, "got", len(a.IDs))
			if len(a.IDs) < r.count {
				p.refused[r.opt] = c.now + c.cfg.Tuning.RefusedWait
			}
			delete(p.refusals, r.opt)
			r.over, r.got = true, len(a.IDs)
			c.settleRental(p, r, a.IDs)
			c.rentSoon()
		case Missing:
			p.refused[r.opt] = c.now + c.cfg.Tuning.RefusedWait<<p.refusals[r.opt]
			p.refusals[r.opt] = min(p.refusals[r.opt]+1, mostRefusals)
			r.over = true
			c.settleRental(p, r, nil)
			c.rentSoon()
		case Invalid:
			p.refused[r.opt] = c.now + 300*second
			r.over = true
			c.settleRental(p, r, nil)
		case Throttled:
			c.cloudThrottled()
			c.after(second/2, func() { c.callRent(p, r) })
		default:
			c.after(3*second, func() { c.callRent(p, r) })
		}
	})})
}

// settleRental records the machines and forgets the request in one
// transaction, so that no crash between the two can lose a machine.
func (c *Core) settleRental(p *part, r *rental, ids []MachineID) {
	claim := p.claim
	id, size := r.group, 0
	if id == "" { // of an earlier claim, whose copies this one has fenced
		id = c.groupName(p)
	}
	kind := grouprecord.Kind{Type: r.opt.Type, Zone: r.opt.Zone, Spot: r.opt.Spot}
	ms := make([]grouprecord.Machine, 0, len(ids))
	for _, m := range ids {
		ms = append(ms, grouprecord.Machine{ID: m, Kind: kind, Booting: true})
	}
	keys, prio := []string{rentalKey(r.name)}, prioLazy
	// A refused one gets no machines, but where a copy of its creation may come
	// late its group's key has to be there all the same, with nothing listed.
	made := len(ids) > 0 || r.late
	if made {
		keys = append(keys, "groups/"+id)
	}
	if len(ids) > 0 {
		prio = prioRent
	}
	c.writer.add(prio, &write{
		part: p.id, keys: keys,
		build: func(nonce string) ([]TxnOp, []Mark) {
			ops, marks := []TxnOp{{rentalKey(r.name), nil}}, []Mark{r.mark}
			if made {
				v := grouprecord.Encode(grouprecord.Record{Part: p.id, Machines: ms, Nonce: nonce})
				size = len(v)
				ops, marks = append(ops, TxnOp{"groups/" + id, v}), append(marks, 0)
			}
			return ops, marks
		},
		ok: func(e Epoch) {
			if !p.held || p.claim != claim {
				return
			}
			delete(p.rentals, r.name)
			if len(ms) > 0 {
				c.addGroup(p, id, ms, size, e)
			}
		},
		conflict: func() {
			// Where only the request is dropped no nonce tells whether an earlier
			// sending was carried out; that the key is gone does.
			c.get(rentalKey(r.name), func(g GetReply) {
				switch {
				case !p.held || p.claim != claim:
				case g.Out == Missing && len(ms) == 0:
					delete(p.rentals, r.name)
				case g.Out == OK || g.Out == Missing:
					c.suspect(p, rentalKey(r.name), "settled by another writer")
				default:
					c.after(second, func() {
						if c.rentalCurrent(p, r) {
							c.settleRental(p, r, ids)
						}
					})
				}
			})
		},
	})
}
