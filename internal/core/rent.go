package core

import (
	"encoding/json"
	"slices"
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
	got   int // machines of an answer that is not recorded yet
	tries int
	group string // that its machines go into, when this claim has made it
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
	j     *job
	n     int
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
			use[j.spec.Team] = use[j.spec.Team].plus(j.spec.Need)
			l = append(l, waitingWork{j, 1, true})
		}
	}
	for _, j := range jobs {
		need := j.spec.Need
		n := min(j.pending()-first[j], slotsIn(c.teams[j.spec.Team].Limit.minus(use[j.spec.Team]), Res{CPU: need.CPU, GPU: need.GPU}))
		if n <= 0 {
			continue
		}
		use[j.spec.Team] = use[j.spec.Team].plus(need.times(n))
		l = append(l, waitingWork{j: j, n: n})
	}
	return l
}

// fill takes from the waiting work what would fit into room.
func (c *Core) fill(work []waitingWork, room Res, ok func(*job) bool) int {
	took := 0
	for i := range work {
		w := &work[i]
		if w.n <= 0 || !w.j.spec.Need.fits(room) || !ok(w.j) {
			continue
		}
		n := min(w.n, slotsIn(room, w.j.spec.Need))
		room = room.minus(w.j.spec.Need.times(n))
		w.n -= n
		took += n
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
	c.after(c.pause(100*milli), func() {
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
	slots, _ := c.slots(p, 1)
	for i := range slots {
		s := &slots[i]
		c.fill(work, s.free, func(j *job) bool { return c.allowedOn(j, s.m) && c.mayUse(j, s.m) })
	}
	for _, m := range p.ms {
		if !m.booting && !m.acked && !m.returning && c.now-m.since < 5*second {
			c.fill(work, c.types[m.typ].Cap.minus(m.used()), func(j *job) bool { return c.allowedOn(j, m) })
		}
	}
	// Another part's idle machine serves at once, a booting one much later.
	c.takeOffered(p, work)
	for _, m := range p.ms {
		if m.returning || m.draining || c.usable(m) {
			continue
		}
		if m.booting {
			c.fill(work, c.types[m.typ].Cap.minus(m.used()), func(j *job) bool { return c.allowedOn(j, m) })
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
	for _, m := range p.ms {
		if c.usable(m) && len(m.assigns) == 0 && m.stored == 0 && !m.g.sent && m.g.offer == nil && m.addr != "" &&
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

// slotsIn counts how many tasks of a need fit into room.
func slotsIn(room, need Res) int {
	n := Amount(1 << 20)
	if need.CPU > 0 {
		n = min(n, room.CPU/need.CPU)
	}
	if need.GPU > 0 {
		n = min(n, room.GPU/need.GPU)
	}
	if need.Mem > 0 {
		n = min(n, room.Mem/need.Mem)
	}
	return int(max(n, 0))
}

// slotsFor counts how many tasks of a need an empty machine takes; at least
// one, as it divides prices.
func slotsFor(room, need Res) int { return max(slotsIn(room, need), 1) }

func (c *Core) startRental(p *part, o rentOption, n int) {
	c.rentSeq++
	r := &rental{name: "r-" + c.cfg.Boot + "-" + strconv.FormatUint(uint64(p.claim), 10) + "-" + strconv.Itoa(c.rentSeq), opt: o, count: n, group: c.groupName(p)}
	p.rentals[r.name] = r
	c.w.add(prioRent, &write{
		part: p.id, keys: []string{rentalKey(r.name)},
		build: func(nonce string) ([]TxnOp, []Mark) {
			v, _ := json.Marshal(rentalRecord{p.id, o.Type, o.Zone, o.Spot, n, nonce})
			return []TxnOp{{rentalKey(r.name), v}}, []Mark{0}
		},
		// Once it is settled its key is absent again, and a late copy of this would
		// bring it back; a successor would then record its machines a second time.
		// The key of its machines' group stays until the next claim fences the copy.
		also: []Cond{{"groups/" + r.group, 0}},
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
			c.logf("debug", "rented", "part", int(p.id), "type", r.opt.Type, "zone", r.opt.Zone, "spot", r.opt.Spot, "asked", r.count, "got", len(a.IDs))
			if len(a.IDs) < r.count {
				p.refused[r.opt] = c.now + c.cfg.Tuning.RefusedWait
			}
			r.over, r.got = true, len(a.IDs)
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
	ms := make([]listedMachine, 0, len(ids))
	for _, m := range ids {
		ms = append(ms, listedMachine{id: m, kind: groupKind{r.opt.Type, r.opt.Zone, r.opt.Spot}, booting: true})
	}
	keys, prio := []string{rentalKey(r.name)}, prioLazy
	if len(ids) > 0 {
		keys, prio = append(keys, "groups/"+id), prioRent
	}
	c.w.add(prio, &write{
		part: p.id, keys: keys,
		build: func(nonce string) ([]TxnOp, []Mark) {
			ops, marks := []TxnOp{{rentalKey(r.name), nil}}, []Mark{r.mark}
			if len(ms) > 0 {
				v := encodeGroup(p.id, ms, nonce)
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

// --- what becomes of machines ---

func (c *Core) booted(m *machine) {
	c.logf("debug", "machine up", "machine", string(m.id), "type", m.typ, "after_s", int((c.now-m.since)/second))
	m.idleSince = c.now // it has not been idle while it booted
	c.placing = true
}

const sweepEvery = second / 2

// maxTokenCalls bounds how many workers are called at once to raise their
// tokens, so that a take-over of hundreds does not use up sockets and
// processor: the others get theirs in the answers to their reports.
const maxTokenCalls = 40

// machineSweep looks after the machines: raises tokens, gives up the silent,
// returns the idle and replaces slow boots.
func (c *Core) machineSweep() {
	reporting := c.now-c.lastReport < c.cfg.ReportEvery && c.lastReport > 0
	var ms []*machine
	for _, p := range c.parts {
		if p.held && p.ready {
			ms = append(ms, p.ms...)
		}
	}
	asked := 0
	idle := c.idleJudge()
	for _, m := range ms {
		if m.spot && !m.booting {
			c.spotTime += sweepEvery.seconds()
		}
		if m.returning {
			if m.returned && !m.calling {
				c.returnSoon()
			}
			continue
		}
		if !m.acked && !m.bumping && !m.ordersBusy && m.addr != "" && c.now-m.ordersAt > 1500*milli &&
			asked < maxTokenCalls {
			asked++
			c.sendOrders(m, nil)
		}
		if c.storeLost(second) {
			continue
		}
		c.checkPace(m)
		silent := c.silentFor(m)
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
		case c.ignoresStop(m):
			c.returnMachine(m, "does not stop a cancelled task")
		case !m.acked && !m.bumping && m.session > 0 && c.now-max(m.unackedAt, c.awakeAt) > c.cfg.Lease+5*second && silent < 3*c.cfg.Lease && c.now-m.since > c.cfg.Lease:
			// Its reports come, but nothing that is sent to it has an effect.
			c.returnMachine(m, "deaf")
		case m.unlisted && silent > 5*c.cfg.ReportEvery/2 && reporting:
			c.lostSpot(m)
			c.returnMachine(m, "silent and not listed")
		case silent > c.cfg.Lease+5*second && (reporting || silent > 3*c.cfg.Lease) && c.now-m.since > c.cfg.Lease:
			c.lostSpot(m)
			c.returnMachine(m, "silent")
		case m.draining && len(m.assigns) == 0 && c.now > m.noticeAt:
			c.returnMachine(m, "drained")
		case m.draining && m.noticeAt > 0 && m.liveTasks() == 0:
			c.returnMachine(m, "notice")
		case m.yield && m.liveTasks() == 0 && c.now-m.idleSince > 4*second && idle(m):
			c.returnMachine(m, "retired")
		case m.liveTasks() == 0 && c.now-m.idleSince > c.cfg.Tuning.IdleReturn && idle(m) && silent < 3*c.cfg.ReportEvery:
			c.returnMachine(m, "idle")
		}
	}
}

// lostSpot notes a spot machine that went without notice.
func (c *Core) lostSpot(m *machine) {
	if m.spot && !m.draining {
		c.spotLost++
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

// ignoresStop tells whether a cancelled task goes on in spite of stop commands:
// perhaps they don't reach the machine.
func (c *Core) ignoresStop(m *machine) bool {
	for _, a := range m.assigns {
		if a.live() && a.stopAt > 0 && a.j.final == StCancelled && c.now-a.stopAt > min(c.cfg.Lease+2*second, c.cfg.CancelWithin/2) {
			return true
		}
	}
	return false
}

// idleJudge returns a function that tells whether an idle machine is of no use
// to any part. Another part with too few machines is better offered it than
// left to rent one. What all machines share is worked out at most once.
func (c *Core) idleJudge() func(*machine) bool {
	var loads map[Part]PartLoad
	work := map[Part][]waitingWork{}
	return func(m *machine) bool {
		if loads == nil {
			loads = c.allLoads()
		}
		for q, l := range loads {
			if q != m.part && l.need() > l.Have+l.Coming {
				return false
			}
		}
		w, ok := work[m.part]
		if !ok {
			w = c.unplaced(c.parts[m.part])
			work[m.part] = w
		}
		for _, x := range w {
			if c.allowedOn(x.j, m) {
				return false
			}
		}
		return true
	}
}

// checkpointGroups clears what records list though it is over, and keeps the
// records' sizes in hand.
func (c *Core) checkpointGroups() {
	for _, id := range sortedKeys(c.groups) {
		g := c.groups[id]
		if g.w {
			continue
		}
	machines:
		for _, m := range g.list() {
			for _, a := range m.assigns {
				if a.gone {
					c.writeGroup(g, prioLazy)
					break machines
				}
			}
		}
	}
	for _, p := range c.parts {
		if p.held && p.ready {
			c.tidyGroups(p)
		}
	}
}

// returnMachine gives a machine back: the record says so first, so that no
// part can take it while the cloud is called.
func (c *Core) returnMachine(m *machine, why string) {
	if m.returning {
		return
	}
	c.logf("debug", "returning machine", "machine", string(m.id), "why", why, "tasks", m.liveTasks())
	c.noteReturn(why, m.liveTasks())
	m.returning = true
	c.writeMachine(m, prioDone)
}

// noteReturn gathers what is returned within a second into one line: hundreds
// of machines may fall together.
func (c *Core) noteReturn(why string, tasks int) {
	if c.returns == nil {
		c.returns = map[string]int{}
		c.after(second, func() {
			args := make([]any, 0, 2*len(c.returns)+2)
			for _, why := range sortedKeys(c.returns) {
				args = append(args, strings.ReplaceAll(why, " ", "_"), c.returns[why])
			}
			c.logf("info", "returning machines", append(args, "tasks", c.returnTasks)...)
			c.returns, c.returnTasks = nil, 0
		})
	}
	c.returns[why]++
	c.returnTasks += tasks
}

// returnSoon gathers the machines whose return is recorded into few calls.
func (c *Core) returnSoon() {
	if c.returnAsked {
		return
	}
	c.returnAsked = true
	c.after(50*milli, func() {
		c.returnAsked = false
		c.callReturn()
	})
}

// maxReturn is how many machines the protocol lets one call return.
const maxReturn = 100

func (c *Core) callReturn() {
	var ms []*machine
	var ids []MachineID
	for _, p := range c.parts {
		for _, m := range p.ms {
			if p.held && m.returned && !m.calling && !m.dead && len(ms) < maxReturn {
				ms, ids = append(ms, m), append(ids, m.id)
			}
		}
	}
	if len(ms) == 0 || !c.mayCallCloud() {
		return
	}
	for _, m := range ms {
		m.calling = true
	}
	c.emit(CloudReturn{IDs: ids, Call: c.call(func(b any) {
		if b.(ReturnReply).Out != OK {
			c.after(2*second, func() {
				for _, m := range ms {
					m.calling = false
				}
			})
			return
		}
		for _, m := range ms {
			if c.machines[m.id] == m {
				c.machineGone(m)
			}
		}
	})})
}

// machineGone follows the cloud's word that a machine and all on it are gone.
// What ran there may start elsewhere once the record says so.
func (c *Core) machineGone(m *machine) {
	m.dead = true
	for _, a := range m.assigns {
		a.gone = true
	}
	c.writeMachine(m, prioStart)
}

func (c *Core) forgetMachine(m *machine) {
	if c.machines[m.id] != m {
		return
	}
	c.removeMachine(m)
	for _, a := range m.sorted() {
		delete(m.assigns, a.task)
		c.freeTask(a)
	}
	if m.pending != 0 {
		c.redirect(m.pending, "")
		m.pending = 0
	}
}

// listPage is how many machines the protocol lets one answer list.
const listPage = 500

// listPause is the time between two readings of the cloud's list. A controller
// without machines has only strays to look for, which takes a minute anyway.
func (c *Core) listPause() Time {
	d := max(c.cfg.ListLag, 8*second)
	if len(c.machines) == 0 {
		d *= 4
	}
	return d
}

// firstList spreads the controllers' first readings: they start together, at
// the moment at which a fleet may have to be rented.
func (c *Core) firstList() Time {
	at := slices.Index(c.cfg.Nodes, c.cfg.Self)
	return 2*second + c.listPause()*Time(max(at, 0))/Time(len(c.cfg.Nodes))
}

// listCloud reads the machine list now and then: it shows machines that died
// and strays that no record lists.
func (c *Core) listCloud() {
	if c.listed.busy || c.now < c.nextList || !c.mayCallCloud() {
		return
	}
	c.nextList = c.now + c.listPause()
	c.listed.busy = true
	c.emit(CloudList{Call: c.call(func(b any) {
		c.listed.busy = false
		r := b.(CloudListReply)
		if r.Out != OK {
			return
		}
		for n := len(r.Items); n > listPage; n -= listPage {
			c.mustCallCloud() // each further page is a call too
		}
		listed := make(map[MachineID]bool, len(r.Items))
		for _, l := range r.Items {
			listed[l.ID] = true
			c.heardOf(l)
		}
		// Once listed, a machine stays listed until it is gone. A list may be old
		// or the machine new, so this is no proof; but one that is silent too is
		// not worth waiting for, and its return will be the proof.
		for id, m := range c.machines {
			m.unlisted = !listed[id] && !m.booting
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
	if first, ok := c.strays[l.ID]; ok && c.now-first < c.strayFor() || c.inspecting[l.ID] {
		return
	}
	c.inspecting[l.ID] = true
	c.found = append(c.found, l)
	if len(c.found) > 1 {
		return
	}
	c.after(0, c.enlistFound)
}

// strayFor is how long a machine must have been in the list and in no record:
// the list still shows for a while what has been returned or has died.
func (c *Core) strayFor() Time { return 3*c.cfg.ListLag + 45*second }

// enlistFound looks whether records list the machines that the cloud shows,
// and takes those that have been nobody's for long enough. That they were
// listed long ago says nothing: they may have been somebody's until now, and
// then a machine just returned would be taken in as a ghost.
func (c *Core) enlistFound() {
	found := c.found
	c.found = nil
	c.readOwners(func(open map[groupKind]bool, listed map[MachineID]bool) {
		for _, l := range found {
			delete(c.inspecting, l.ID)
			p := c.partFor(l.ID)
			kind := groupKind{l.Type, l.Zone, l.Spot}
			if listed == nil || listed[l.ID] || open[kind] || c.machines[l.ID] != nil || !p.held || !p.ready {
				delete(c.strays, l.ID)
				continue
			}
			if first, ok := c.strays[l.ID]; !ok {
				c.strays[l.ID] = c.now
				continue
			} else if c.now-first < c.strayFor() {
				continue
			}
			c.logf("info", "adopted stray machine", "machine", string(l.ID))
			c.enlistSoon(p, listedMachine{id: l.ID, kind: kind, addr: l.Addr})
		}
	})
}
