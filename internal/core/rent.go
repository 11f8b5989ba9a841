package core

import (
	"encoding/json"
	"sort"
	"strconv"
	"strings"
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
}

type rentalRecord struct {
	Part  Part   `json:"p"`
	Type  string `json:"f"`
	Zone  string `json:"y"`
	Spot  bool   `json:"s,omitempty"`
	Count int    `json:"n"`
	W     string `json:"w"`
}

// cloudView is the state of reading the machine list.
type cloudView struct {
	busy bool
}

func rentalKey(name string) string { return "rentals/" + name }

func (c *Core) fetchTypes() {
	c.counters.CloudCalls++
	c.emit(CloudTypes{Call: c.call(func(b any) {
		r := b.(TypesReply)
		if r.Out != OK || len(r.Types) == 0 {
			c.after(2*second, c.fetchTypes)
			return
		}
		for _, t := range r.Types {
			c.types[t.Name] = t
		}
		c.placing = true
		c.after(60*second, c.fetchTypes)
	})})
}

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
	j *job
	n int
}

// unplaced lists the waiting tasks that team limits would let run at once.
func (c *Core) unplaced(p *part) []waitingWork {
	use := c.teamUse(p)
	var l []waitingWork
	for _, j := range c.queued(p) {
		limit := c.teams[j.spec.Team].Limit
		u, n := use[j.spec.Team], 0
		for n < j.pending() {
			v := u.plus(j.spec.Need)
			if v.CPU > limit.CPU || v.GPU > limit.GPU {
				break
			}
			u = v
			n++
		}
		use[j.spec.Team] = u
		if n > 0 {
			l = append(l, waitingWork{j, n})
		}
	}
	return l
}

// fill takes from the waiting work what would fit into room.
func (c *Core) fill(work []waitingWork, room Res, ok func(*job) bool) int {
	took := 0
	for i := range work {
		for work[i].n > 0 && ok(work[i].j) && work[i].j.spec.Need.fits(room) {
			room = room.minus(work[i].j.spec.Need)
			work[i].n--
			took++
		}
	}
	return took
}

// rentSoon looks for machines before the next regular sweep: boots take long,
// and every second that a request waits is added to them.
func (c *Core) rentSoon() {
	if c.rentAsked {
		return
	}
	c.rentAsked = true
	c.after(100*milli, func() {
		c.rentAsked = false
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
	for _, s := range c.slots(p) {
		c.fill(work, s.free, func(j *job) bool { return c.allowedOn(j, s.m) })
	}
	for _, id := range sortedKeys(c.machines) {
		if m := c.machines[id]; m.part == p.id && !m.booting && !m.acked && !m.returning && c.now-m.since < 5*second {
			c.fill(work, c.types[m.typ].Cap.minus(m.used()), func(j *job) bool { return c.allowedOn(j, m) })
		}
	}
	// Another part's idle machine serves at once, a booting one much later.
	c.takeIdle(p, work)
	for _, id := range sortedKeys(c.machines) {
		m := c.machines[id]
		if m.part != p.id || m.returning || m.draining || c.usable(m) {
			continue
		}
		if m.booting {
			c.fill(work, c.types[m.typ].Cap.minus(m.used()), func(j *job) bool { return c.allowedOn(j, m) })
		}
	}
	for _, name := range sortedKeys(p.rentals) {
		r := p.rentals[name]
		for i := 0; i < r.count && !r.over; i++ {
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

// takeIdle moves idle machines of other parts here by a conditional write on
// a record that lists no task.
func (c *Core) takeIdle(p *part, work []waitingWork) {
	for _, id := range c.cfg.Nodes {
		q := c.peers[id]
		if q == nil || q.failed || c.now-q.pingAt > 3*second {
			continue
		}
		for _, im := range q.ping.Idle {
			if q.taken[im.ID] == im.Mark || c.machines[im.ID] != nil {
				continue
			}
			o := rentOption{im.Type, im.Zone, im.Spot}
			if c.fill(work, c.types[im.Type].Cap, func(j *job) bool { return c.optionAllowed(j, o) }) == 0 {
				continue
			}
			if q.taken == nil {
				q.taken = map[MachineID]Mark{}
			}
			q.taken[im.ID] = im.Mark
			c.createMachine(im.ID, p, machineRecord{Addr: im.Addr, Type: im.Type, Zone: im.Zone, Spot: im.Spot}, im.Mark, func(m *machine) {
				if m != nil {
					c.logf("debug", "took idle machine", "machine", string(m.id), "part", int(p.id))
					c.machineSweep()
				}
			})
		}
	}
	for _, other := range c.parts { // parts held here have nobody to ask
		if other == p || !other.held || !other.ready {
			continue
		}
		for _, m := range c.idleOf(other) {
			o := rentOption{m.typ, m.zone, m.spot}
			if c.fill(work, c.types[m.typ].Cap, func(j *job) bool { return c.optionAllowed(j, o) }) == 0 {
				continue
			}
			rec, mark := machineRecord{Addr: m.addr, Type: m.typ, Zone: m.zone, Spot: m.spot}, m.mark
			id := m.id
			c.dropMachine(m)
			c.createMachine(id, p, rec, mark, func(m *machine) {
				if m != nil {
					c.machineSweep()
				}
			})
		}
	}
}

// idleOf lists the machines of a part that another may take.
func (c *Core) idleOf(p *part) []*machine {
	var l []*machine
	if !p.held || !p.ready {
		return nil
	}
	for _, id := range sortedKeys(c.machines) {
		m := c.machines[id]
		if m.part == p.id && c.usable(m) && len(m.assigns) == 0 && m.stored == 0 && !m.w && m.addr != "" &&
			len(m.kill) == 0 && c.now-m.idleSince > second/2 {
			l = append(l, m)
		}
	}
	return l
}

// idleMachines lists what other parts may take from the parts held here.
func (c *Core) idleMachines() []IdleMachine {
	var out []IdleMachine
	for _, p := range c.parts {
		if !p.held || !p.ready {
			continue
		}
		l := c.idleOf(p)
		if len(l) == 0 {
			continue
		}
		work := c.unplaced(p)
		for _, m := range l {
			if !m.yield && c.fill(work, c.types[m.typ].Cap, func(j *job) bool { return c.allowedOn(j, m) }) > 0 {
				continue // its own part is about to use it
			}
			out = append(out, IdleMachine{m.id, m.mark, m.typ, m.zone, m.spot, m.addr})
		}
	}
	return out
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
			if w.n > 0 {
				first = w.j
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
				if work[i].j == first {
					work[i].n = 0
				}
			}
			continue
		}
		o := opts[0]
		n := 0
		for n < min(c.cfg.TxnOps-2, 10) {
			if c.fill(work, c.types[o.Type].Cap, func(j *job) bool { return c.optionAllowed(j, o) }) == 0 {
				break
			}
			n++
		}
		if n == 0 {
			return
		}
		if !c.cloudBucket.take(c.now, 1) {
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
		rest += float64(w.n) * float64(w.j.spec.Need.CPU) / 1e6 * c.expectedRun(w.j)
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

// slotsFor counts how many tasks of a need fit into a machine.
func slotsFor(room, need Res) int {
	n := 1 << 20
	if need.CPU > 0 {
		n = min(n, int(room.CPU/need.CPU))
	}
	if need.GPU > 0 {
		n = min(n, int(room.GPU/need.GPU))
	}
	if need.Mem > 0 {
		n = min(n, int(room.Mem/need.Mem))
	}
	return max(n, 1)
}

func (c *Core) startRental(p *part, o rentOption, n int) {
	c.rentSeq++
	r := &rental{name: "r-" + c.cfg.Boot + "-" + strconv.FormatUint(uint64(p.claim), 10) + "-" + strconv.Itoa(c.rentSeq), opt: o, count: n}
	p.rentals[r.name] = r
	p.refused[o] = c.now + 2*second // one request at a time for an option
	c.w.add(prioStart, &write{
		part: p.id, keys: []string{rentalKey(r.name)},
		build: func(nonce string) ([]TxnOp, []Mark) {
			v, _ := json.Marshal(rentalRecord{p.id, o.Type, o.Zone, o.Spot, n, nonce})
			return []TxnOp{{rentalKey(r.name), v}}, []Mark{0}
		},
		ok: func(e Epoch) {
			r.mark = Mark(e)
			c.callRent(p, r)
		},
		conflict: func() { c.suspect(p, rentalKey(r.name), "name in use") },
	})
}

func (c *Core) rentalCurrent(p *part, r *rental) bool { return p.held && p.rentals[r.name] == r }

func (c *Core) callRent(p *part, r *rental) {
	if !c.rentalCurrent(p, r) || r.over {
		return
	}
	c.counters.CloudCalls++
	c.emit(CloudRent{Name: r.name, Type: r.opt.Type, Zone: r.opt.Zone, Spot: r.opt.Spot, Count: r.count, Call: c.call(func(b any) {
		a := b.(RentReply)
		if !c.rentalCurrent(p, r) {
			return
		}
		switch a.Out {
		case OK:
			c.logf("debug", "rented", "part", int(p.id), "type", r.opt.Type, "zone", r.opt.Zone, "spot", r.opt.Spot, "asked", r.count, "got", len(a.IDs))
			if len(a.IDs) < r.count {
				p.refused[r.opt] = c.now + c.cfg.Tuning.RefusedWait
			}
			r.over = true
			c.settleRental(p, r, a.IDs)
			c.rentSoon()
		case Missing:
			p.refused[r.opt] = c.now + c.cfg.Tuning.RefusedWait
			r.over = true
			c.settleRental(p, r, nil)
			c.rentSoon()
		case Invalid:
			p.refused[r.opt] = c.now + 300*second
			r.over = true
			c.settleRental(p, r, nil)
		default:
			c.after(3*second, func() { c.callRent(p, r) })
		}
	})})
}

// settleRental records the machines and forgets the request in one
// transaction, so that no crash between the two can lose a machine.
func (c *Core) settleRental(p *part, r *rental, ids []MachineID) {
	claim := p.claim
	keys := []string{rentalKey(r.name)}
	for _, id := range ids {
		keys = append(keys, machineKey(id))
	}
	prio := prioStart
	if len(ids) == 0 {
		prio = prioLazy
	}
	var made []MachineID
	skip := map[MachineID]bool{}
	var add func()
	add = func() {
		c.w.add(prio, &write{
			part: p.id, keys: keys,
			build: func(nonce string) ([]TxnOp, []Mark) {
				made = nil
				ops := []TxnOp{}
				marks := []Mark{}
				for _, id := range ids {
					if skip[id] || c.machines[id] != nil {
						continue
					}
					v, _ := json.Marshal(machineRecord{Part: p.id, Type: r.opt.Type, Zone: r.opt.Zone, Spot: r.opt.Spot, W: nonce})
					ops = append(ops, TxnOp{machineKey(id), v})
					marks = append(marks, 0)
					made = append(made, id)
				}
				return append(ops, TxnOp{rentalKey(r.name), nil}), append(marks, r.mark)
			},
			ok: func(e Epoch) {
				if !p.held || p.claim != claim {
					return
				}
				delete(p.rentals, r.name)
				for _, id := range made {
					if c.machines[id] == nil {
						m := c.addMachine(id, p, machineRecord{Part: p.id, Type: r.opt.Type, Zone: r.opt.Zone, Spot: r.opt.Spot}, Mark(e))
						m.booting, m.first = true, m.token
					}
				}
			},
			conflict: func() {
				// A machine that was up at once may have been adopted by its number.
				if !p.held || p.claim != claim {
					return
				}
				left := 1
				done := func() {
					if left--; left == 0 && p.held && p.claim == claim {
						add()
					}
				}
				for _, id := range ids {
					left++
					c.get(machineKey(id), func(g GetReply) {
						if g.Out == OK {
							skip[id] = true
						}
						done()
					})
				}
				left++
				c.get(rentalKey(r.name), func(g GetReply) {
					if g.Out == Missing {
						delete(p.rentals, r.name)
						return
					}
					done()
				})
				done()
			},
		})
	}
	add()
}

// --- what becomes of machines ---

func (c *Core) booted(m *machine) {
	c.logf("debug", "machine up", "machine", string(m.id), "type", m.typ, "after_s", int((c.now-m.since)/second))
	m.idleSince = c.now // it has not been idle while it booted
	c.placing = true
}

// machineSweep looks after the machines: raises tokens, gives up the silent,
// returns the idle and replaces slow boots.
func (c *Core) machineSweep() {
	reporting := c.now-c.lastReport < c.cfg.ReportEvery && c.lastReport > 0
	for _, id := range sortedKeys(c.machines) {
		m := c.machines[id]
		p := c.parts[m.part]
		if !p.held || !p.ready {
			continue
		}
		if m.returning {
			if m.returned && !m.calling {
				c.callReturn(m)
			}
			continue
		}
		if !m.acked && !m.bumping && !m.ordersBusy && m.addr != "" && c.now-m.ordersAt > 1500*milli {
			c.sendOrders(m, nil)
		}
		if c.storeLost(second) {
			continue
		}
		c.checkPace(m)
		silent := c.now - m.heard
		t := c.types[m.typ]
		switch {
		case m.booting:
			patience := Time((t.BootS*c.cfg.Tuning.BootPatience + 5) * float64(second))
			if t.BootS > 0 && c.now-m.since > patience {
				c.returnMachine(m, "never came up")
			}
		case c.holdsCancelled(m) && (silent > c.cfg.Lease+2*second || silent > 5*second && m.session == 0):
			// A machine that hangs with a cancelled job's tasks must be gone
			// before its cancellation's time is up.
			c.returnMachine(m, "silent with cancelled tasks")
		case silent > c.cfg.Lease+5*second && (reporting || silent > 3*c.cfg.Lease) && c.now-m.since > c.cfg.Lease:
			c.returnMachine(m, "silent")
		case m.draining && len(m.assigns) == 0 && c.now > m.noticeAt:
			c.returnMachine(m, "drained")
		case m.draining && m.noticeAt > 0 && m.liveTasks() == 0:
			c.returnMachine(m, "notice")
		case m.yield && m.liveTasks() == 0 && c.now-m.idleSince > 4*second && c.lastUse(m) && !c.wantedElsewhere(m):
			c.returnMachine(m, "retired")
		case m.liveTasks() == 0 && c.now-m.idleSince > c.cfg.Tuning.IdleReturn && !c.wantedElsewhere(m) && c.lastUse(m) && silent < 3*c.cfg.ReportEvery:
			c.returnMachine(m, "idle")
		}
	}
}

func (c *Core) holdsCancelled(m *machine) bool {
	for _, a := range m.assigns {
		if a.live() && a.j.final == StCancelled {
			return true
		}
	}
	return false
}

// wantedElsewhere tells whether another part has too few machines: then an
// idle one is better offered than returned and rented again.
func (c *Core) wantedElsewhere(m *machine) bool {
	for q, l := range c.allLoads() {
		if q != m.part && l.need() > l.Have+l.Coming {
			return true
		}
	}
	return false
}

// lastUse tells whether nothing waits that an idle machine could take.
func (c *Core) lastUse(m *machine) bool {
	for _, w := range c.unplaced(c.parts[m.part]) {
		if c.allowedOn(w.j, m) {
			return false
		}
	}
	return true
}

// checkpointMachines clears records that list only what is over, so that the
// machines can be offered to other parts.
func (c *Core) checkpointMachines() {
	for _, id := range sortedKeys(c.machines) {
		m := c.machines[id]
		if m.w || m.returning {
			continue
		}
		gone, other := 0, 0
		for _, a := range m.assigns {
			if a.gone {
				gone++
			} else {
				other++
			}
		}
		if other == 0 && (gone > 0 || m.stored > 0) && m.acked {
			c.writeMachine(m, prioLazy)
		}
	}
}

// returnMachine gives a machine back: the record says so first, so that no
// part can take it while the cloud is called.
func (c *Core) returnMachine(m *machine, why string) {
	if m.returning {
		return
	}
	c.logf("info", "returning machine", "machine", string(m.id), "why", why, "tasks", m.liveTasks())
	m.returning = true
	c.writeMachine(m, prioDone)
}

func (c *Core) callReturn(m *machine) {
	if m.calling || !c.cloudBucket.take(c.now, 1) {
		return
	}
	m.calling = true
	c.counters.CloudCalls++
	c.emit(CloudReturn{IDs: []MachineID{m.id}, Call: c.call(func(b any) {
		m.calling = false
		if c.machines[m.id] != m {
			return
		}
		if b.(ReturnReply).Out != OK {
			m.calling = true
			c.after(2*second, func() { m.calling = false })
			return
		}
		c.machineGone(m)
	})})
}

// machineGone follows the cloud's word that a machine and all on it are gone.
func (c *Core) machineGone(m *machine) {
	m.calling = true // nothing more to ask
	for _, a := range m.sorted() {
		a.gone = true
	}
	if m.w {
		c.after(100*milli, func() {
			if c.machines[m.id] == m {
				c.machineGone(m)
			}
		})
		return
	}
	m.w = true
	c.w.add(prioStart, &write{
		part: m.part, keys: []string{machineKey(m.id)},
		build: func(string) ([]TxnOp, []Mark) {
			return []TxnOp{{machineKey(m.id), nil}}, []Mark{m.mark}
		},
		ok: func(Epoch) { c.forgetMachine(m) },
		conflict: func() {
			c.get(machineKey(m.id), func(r GetReply) {
				switch {
				case c.machines[m.id] != m:
				case r.Out == Missing, r.Out == OK:
					// An earlier sending was carried out after all; a stray's
					// record may stand there by now. The cloud's word is final.
					c.forgetMachine(m)
				default:
					m.w = false
					c.after(second, func() {
						if c.machines[m.id] == m {
							c.machineGone(m)
						}
					})
				}
			})
		},
		lost: func() { m.w = false },
	})
}

func (c *Core) forgetMachine(m *machine) {
	if c.machines[m.id] != m {
		return
	}
	delete(c.machines, m.id)
	for _, a := range m.sorted() {
		delete(m.assigns, a.task)
		c.freeTask(a)
	}
	if m.pending != 0 {
		c.redirect(m.pending, "")
		m.pending = 0
	}
}

// listCloud reads the machine list now and then: it shows machines that died
// and strays that no record lists.
func (c *Core) listCloud() {
	if c.listed.busy || c.now < c.nextList || !c.cloudBucket.take(c.now, 1) {
		return
	}
	c.nextList = c.now + max(c.cfg.ListLag, 8*second)
	c.listed.busy = true
	c.counters.CloudCalls++
	c.emit(CloudList{Call: c.call(func(b any) {
		c.listed.busy = false
		r := b.(CloudListReply)
		if r.Out != OK {
			return
		}
		listed := make(map[MachineID]bool, len(r.Items))
		for _, l := range r.Items {
			listed[l.ID] = true
			c.heardOf(l)
		}
		for id := range c.strays {
			if !listed[id] || c.machines[id] != nil {
				delete(c.strays, id)
			}
		}
	})})
}

func (c *Core) heardOf(l Listed) {
	m := c.machines[l.ID]
	if m != nil {
		if m.addr == "" {
			m.addr = l.Addr
		}
		if l.Status == "failed" && !m.returning && c.parts[m.part].ready && c.now-m.heard > 2*c.cfg.ReportEvery {
			c.returnMachine(m, "failed")
		}
		return
	}
	// A stray: a late rental, or one whose record a crash prevented. The lag
	// must be over, or a record that is being written would be missed.
	if l.AgeS < 3*float64(c.cfg.ListLag)/float64(second)+20 {
		return
	}
	if n, ok := c.owners[l.ID]; ok && c.now-n.at < 60*second {
		return
	}
	p := c.partFor(l.ID)
	if !p.held || !p.ready || c.storeLost(second) {
		return
	}
	// The list still shows for a while what has been returned.
	if first, ok := c.strays[l.ID]; !ok {
		c.strays[l.ID] = c.now
		return
	} else if c.now-first < 3*c.cfg.ListLag+45*second { // the dead stay listed a while too
		return
	}
	c.owners[l.ID] = ownerNote{p.id, c.now}
	c.get(machineKey(l.ID), func(g GetReply) {
		if g.Out == OK {
			var rec machineRecord
			if json.Unmarshal(g.KV.Value, &rec) == nil && rec.Part >= 0 && int(rec.Part) < len(c.parts) {
				c.owners[l.ID] = ownerNote{rec.Part, c.now}
			}
			return
		}
		delete(c.owners, l.ID)
		if g.Out != Missing || c.machines[l.ID] != nil || !p.held || !p.ready {
			return
		}
		c.createMachine(l.ID, p, machineRecord{Addr: l.Addr, Type: l.Type, Zone: l.Zone, Spot: l.Spot}, 0, func(m *machine) {
			if m != nil {
				c.logf("info", "adopted stray machine", "machine", string(m.id))
				m.heard = c.now
			}
		})
	})
}
