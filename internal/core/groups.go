package core

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// A record of its own per machine would cost a put per wave of starts on each;
// with hundreds of machines that is many times the store's write rate. So one
// record covers a group of a part's machines. A machine is listed in exactly
// one group; it changes groups only by a transaction that writes both, and
// changes parts only with its whole group, by a conditional write on the
// group's record at a mark at which that lists no task.

type group struct {
	id   string
	part Part
	mark Mark
	ms   map[MachineID]*machine

	w        bool   // a write is queued or on its way
	sent     bool   // it is on its way: what it lists is settled until it is answered
	wait     *write // it is queued
	again    int    // the priority of the next write that is wanted, or prios
	checking bool
	size     int // of the record as last built
	added    int // bytes that may have come on top since
	bins     int // into how many it is to be split at least, after a refusal
	offer    *groupOffer
}

// groupOffer says that a part may take the group. Until then nothing is
// started on its machines; a write of ours after that makes a late take fail.
type groupOffer struct {
	to    Part
	until Time
}

func (g *group) key() string { return "groups/" + g.id }

func (g *group) list() []*machine {
	l := make([]*machine, 0, len(g.ms))
	for _, m := range g.ms {
		l = append(l, m)
	}
	sort.Slice(l, func(i, k int) bool { return l[i].id < l[k].id })
	return l
}

// groupMachines is how many machines a record is made for: with a handful of
// tasks each they take about half of the value limit.
func (c *Core) groupMachines() int { return max(c.cfg.ValueBytes/80, 4) }

// room tells whether the record can list one more task of a job.
func (c *Core) room(g *group, j *job) bool {
	return g.size+g.added+len(j.spec.ID)+28 <= c.cfg.ValueBytes*17/20
}

// snapshot remembers what a built record says, for when it is stored.
type snapshot struct {
	ms   []machineSnap
	left []*machine // not listed any more: the cloud has taken them back
	size int
}

type machineSnap struct {
	m         *machine
	in, out   []*assign
	bump, ret bool
}

// snap builds the record of a group that consists of the given machines. Nil:
// there is nothing left to list.
func (c *Core) snap(part Part, ms []*machine, nonce string) ([]byte, *snapshot) {
	s := &snapshot{ms: make([]machineSnap, 0, len(ms))}
	lines := make([]listedMachine, 0, len(ms))
	for _, m := range ms {
		if m.dead {
			s.left = append(s.left, m)
			continue
		}
		x := machineSnap{m: m, bump: m.bumping, ret: m.returning}
		line := listedMachine{id: m.id, kind: groupKind{m.typ, m.zone, m.spot}, addr: m.addr, returned: m.returning, booting: m.booting}
		for _, a := range m.sorted() {
			if a.gone {
				x.out = append(x.out, a)
				continue
			}
			x.in = append(x.in, a)
			line.tasks = append(line.tasks, listedTask{a.task, a.attempt})
		}
		s.ms = append(s.ms, x)
		lines = append(lines, line)
	}
	// An emptied group's key is kept, with nothing listed: once it were absent,
	// a late copy of the transaction that created it would be carried out again.
	// The next claim, which fences such copies, drops it.
	v := encodeGroup(part, lines, nonce)
	s.size = len(v)
	return v, s
}

// writeMachine stores which tasks may be on a machine, with the rest of its
// group. All that changes while the write waits its turn goes into the same put.
func (c *Core) writeMachine(m *machine, prio int) { c.writeGroup(m.g, prio) }

func (c *Core) writeGroup(g *group, prio int) {
	if g.w {
		g.again = min(g.again, prio)
		c.w.promote(g.key(), prio)
		return
	}
	g.w, g.again = true, prios
	p := c.parts[g.part]
	claim := p.claim
	var s *snapshot
	g.wait = &write{
		part: g.part, keys: []string{g.key()},
		build: func(nonce string) ([]TxnOp, []Mark) {
			g.wait = nil
			if c.groups[g.id] != g {
				g.w = false
				return nil, nil
			}
			g.sent, g.again, g.added = true, prios, 0
			var v []byte
			v, s = c.snap(g.part, g.list(), nonce)
			g.size = s.size
			return []TxnOp{{g.key(), v}}, []Mark{g.mark}
		},
		ok: func(e Epoch) {
			g.w, g.sent = false, false
			if c.groups[g.id] != g || p.claim != claim || !p.held {
				return
			}
			g.mark = Mark(e)
			c.groupStored(g, s, e)
			c.writeAgain(g)
		},
		conflict: func() {
			g.w, g.sent = false, false
			if c.groups[g.id] == g {
				c.checkGroup(g)
			}
		},
		tooLarge: func() {
			g.w, g.sent = false, false
			if c.groups[g.id] != g || p.claim != claim || !p.held {
				return
			}
			if g.again = min(g.again, prio); len(g.ms) > 1 {
				again := g.again
				c.splitGroup(p, g)
				g.again = again
				return
			}
			c.after(second, func() { c.writeAgain(g) })
		},
		lost: func() { g.w, g.sent = false, false },
	}
	c.w.add(prio, g.wait)
}

func (c *Core) writeAgain(g *group) {
	if g.again < prios && c.groups[g.id] == g {
		c.writeGroup(g, g.again)
	}
}

// groupStored follows a stored record: what it lists may be started, what it
// no longer lists may be started elsewhere.
func (c *Core) groupStored(g *group, s *snapshot, e Epoch) {
	for i := range s.ms {
		x := &s.ms[i]
		m := x.m
		if c.machines[m.id] != m {
			continue
		}
		m.stored = len(x.in)
		for _, a := range x.in {
			if a.phase != aRecording {
				continue
			}
			a.phase = aReady
			if !a.j.active() {
				c.setGone(m, a) // cancelled meanwhile, never sent
			} else {
				c.poke(m)
			}
		}
		for _, a := range x.out {
			c.removeAssign(m, a)
		}
		if x.bump {
			m.bumping = false
			m.token, m.acked, m.unackedAt = Token(e), false, c.now
		}
		if x.ret && !m.returned {
			m.returned = true
			c.returnSoon()
		}
	}
	for _, m := range s.left {
		c.forgetMachine(m)
	}
	if len(g.ms) == 0 {
		delete(c.groups, g.id)
	}
}

func (c *Core) newGroup(p *part, id string, mark Mark) *group {
	g := &group{id: id, part: p.id, mark: mark, ms: map[MachineID]*machine{}, again: prios}
	c.groups[id] = g
	return g
}

func (c *Core) groupName(p *part) string {
	c.groupSeq++
	return c.cfg.Boot + "-" + strconv.FormatUint(uint64(p.claim), 10) + "-" + strconv.Itoa(c.groupSeq)
}

// regroup moves machines of a part into one group, a new one if to is nil, by
// one transaction on all the groups concerned. done gets the group, or nil.
func (c *Core) regroup(p *part, ms []*machine, to *group, prio int, done func(*group)) {
	var from []*group
	for _, m := range ms {
		if m.g.sent || m.g == to {
			done(nil)
			return
		}
		if !slices.Contains(from, m.g) {
			from = append(from, m.g)
		}
	}
	if len(from) == 0 || len(from)+1 > c.cfg.TxnOps || to != nil && to.sent {
		done(nil)
		return
	}
	claim := p.claim
	id := c.groupName(p)
	all := slices.Clone(from)
	if to != nil {
		id = to.id
		all = append(all, to)
	}
	var keys []string
	for _, g := range all {
		// A write that still waits its turn says nothing that this one won't.
		if g.wait != nil {
			c.w.cancel(g.wait)
			g.wait = nil
		}
		g.w, g.sent, g.again = true, true, prios
		keys = append(keys, g.key())
	}
	if to == nil {
		keys = append(keys, "groups/"+id)
	}
	free := func() {
		for _, g := range all {
			g.w, g.sent = false, false
		}
	}
	var moving []*machine
	var snaps []*snapshot
	c.w.add(prio, &write{
		part: p.id, keys: keys,
		build: func(nonce string) ([]TxnOp, []Mark) {
			moving, snaps = nil, nil
			var ops []TxnOp
			var marks []Mark
			for _, m := range ms {
				if c.machines[m.id] == m && m.g != to && slices.Contains(from, m.g) {
					moving = append(moving, m)
				}
			}
			for _, g := range from {
				rest := slices.DeleteFunc(g.list(), func(m *machine) bool { return slices.Contains(moving, m) })
				g.again, g.added = prios, 0
				v, s := c.snap(p.id, rest, nonce)
				ops, marks, snaps = append(ops, TxnOp{g.key(), v}), append(marks, g.mark), append(snaps, s)
			}
			mark, into := Mark(0), slices.Clone(moving)
			if to != nil {
				mark = to.mark
				to.again, to.added = prios, 0
				into = append(into, to.list()...)
			}
			sort.Slice(into, func(i, k int) bool { return into[i].id < into[k].id })
			v, s := c.snap(p.id, into, nonce)
			snaps = append(snaps, s)
			if len(v) > c.cfg.ValueBytes*17/20 || len(moving) == 0 {
				free()
				for _, g := range all {
					c.writeGroup(g, prioStart)
				}
				done(nil)
				return nil, nil
			}
			return append(ops, TxnOp{"groups/" + id, v}), append(marks, mark)
		},
		ok: func(e Epoch) {
			free()
			if !p.held || p.claim != claim {
				done(nil)
				return
			}
			if to == nil {
				to = c.newGroup(p, id, 0)
				all = append(all, to)
			}
			for _, m := range moving {
				delete(m.g.ms, m.id)
				m.g = to
				to.ms[m.id] = m
			}
			again := prios
			for _, g := range all {
				again = min(again, g.again)
			}
			for i, g := range append(slices.Clone(from), to) {
				g.mark, g.size = Mark(e), snaps[i].size
				c.groupStored(g, snaps[i], e)
				if g.again = again; len(g.ms) > 0 { // what was asked of one may now concern the other
					c.writeAgain(g)
				}
			}
			done(to)
		},
		conflict: func() {
			free()
			for _, g := range all {
				if c.groups[g.id] == g {
					c.checkGroup(g)
				}
			}
			done(nil)
		},
		lost: func() {
			free()
			done(nil)
		},
	})
}

// splitGroup moves machines of a group into new ones, by one transaction on all
// of them: into two, or as many as a transaction may write where the record is
// far too large, as one that was written under higher limits may be.
func (c *Core) splitGroup(p *part, g *group) {
	if g.sent || len(g.ms) < 2 {
		return
	}
	n := min(max((g.size+g.added)/(c.cfg.ValueBytes/2), 2, g.bins), c.cfg.TxnOps, len(g.ms))
	if g.wait != nil {
		c.w.cancel(g.wait)
		g.wait = nil
	}
	g.w, g.sent, g.again = true, true, prios
	keys := []string{g.key()}
	var ids []string
	for range n - 1 {
		id := c.groupName(p)
		ids, keys = append(ids, id), append(keys, "groups/"+id)
	}
	claim := p.claim
	free := func() { g.w, g.sent = false, false }
	var snaps []*snapshot
	var bins [][]*machine
	c.w.add(prioStart, &write{
		part: p.id, keys: keys,
		build: func(nonce string) ([]TxnOp, []Mark) {
			if c.groups[g.id] != g {
				free()
				return nil, nil
			}
			g.again, g.added = prios, 0
			bins, snaps = c.bins(g.list(), n), nil
			var ops []TxnOp
			var marks []Mark
			for i, ms := range bins {
				v, s := c.snap(p.id, ms, nonce)
				mark := Mark(0)
				if i == 0 {
					mark = g.mark
				}
				ops, marks, snaps = append(ops, TxnOp{keys[i], v}), append(marks, mark), append(snaps, s)
			}
			return ops, marks
		},
		ok: func(e Epoch) {
			free()
			if c.groups[g.id] != g || !p.held || p.claim != claim {
				return
			}
			again := g.again
			for i, ms := range bins {
				to := g
				if i > 0 {
					to = c.newGroup(p, ids[i-1], 0)
					for _, m := range ms {
						delete(g.ms, m.id)
						m.g = to
						to.ms[m.id] = m
					}
				}
				to.mark, to.size = Mark(e), snaps[i].size
				c.groupStored(to, snaps[i], e)
				if to.again = again; len(to.ms) > 0 { // what was asked of the whole may concern each
					c.writeAgain(to)
				}
			}
		},
		conflict: func() {
			free()
			if c.groups[g.id] == g {
				c.checkGroup(g)
			}
		},
		// Still too large for the store: tasks end, and the record gets shorter.
		tooLarge: func() {
			free()
			g.bins = 2 * n // what the store takes now is less than the settings say
			c.after(second, func() {
				if c.groups[g.id] == g && p.held && p.claim == claim {
					c.writeGroup(g, prioStart)
				}
			})
		},
		lost: free,
	})
}

// bins divides machines so that their records are about equally long.
func (c *Core) bins(ms []*machine, n int) [][]*machine {
	length := func(m *machine) int { return 40 + 16*len(m.assigns) }
	rest := 0
	for _, m := range ms {
		rest += length(m)
	}
	out := make([][]*machine, n)
	i, sum := 0, 0
	for k, m := range ms {
		if i < n-1 && len(out[i]) > 0 && (sum+length(m)/2 > rest/(n-i) || len(ms)-k <= n-1-i) {
			rest -= sum
			i, sum = i+1, 0
		}
		out[i] = append(out[i], m)
		sum += length(m)
	}
	return out[:i+1]
}

// tidyGroups keeps records well under the value limit, and few: every group
// with a change costs a put.
func (c *Core) tidyGroups(p *part) {
	var small []*group
	for _, id := range sortedKeys(c.groups) {
		g := c.groups[id]
		if g.part != p.id || g.sent || g.offer != nil || len(g.ms) == 0 {
			continue
		}
		if size := g.size + g.added; size > c.cfg.ValueBytes*4/5 && len(g.ms) > 1 {
			c.splitGroup(p, g)
		} else if size < c.cfg.ValueBytes*3/5 {
			small = append(small, g)
		}
	}
	sort.SliceStable(small, func(i, k int) bool { return small[i].size+small[i].added < small[k].size+small[k].added })
	size, n := 0, 0
	var move []*machine
	var into *group
	for i, g := range small {
		size, n = size+g.size+g.added, n+len(g.ms)
		if size > c.cfg.ValueBytes*7/10 || n > 2*c.groupMachines() || i == c.cfg.TxnOps-1 {
			break
		}
		if into != nil {
			move = append(move, into.list()...)
		}
		into = g // the largest of them stays
	}
	if len(move) > 0 {
		// With the starts: most of these groups have a write waiting, which this
		// one makes needless, and each less saves a put per wave from now on.
		c.regroup(p, move, into, prioStart, func(*group) {})
	}
}

// checkGroup follows a conflict on a group's record, or a worker that has seen
// a higher token than its machine's.
func (c *Core) checkGroup(g *group) {
	if g.checking {
		return
	}
	g.checking = true
	c.get(g.key(), func(r GetReply) {
		g.checking = false
		if c.groups[g.id] != g {
			return
		}
		to := NoPart
		switch r.Out {
		case Missing:
		case OK:
			part, _, err := decodeGroup(r.KV.Value)
			if err != nil {
				c.broken(c.parts[g.part], g.key(), err.Error())
				return
			}
			if part == g.part {
				if r.KV.Mark > g.mark && !g.w {
					c.suspect(c.parts[g.part], g.key(), "changed by another writer")
					return
				}
				// Still ours, yet a worker may have seen a higher token: an owner
				// that has since lost it had a later one. Ours must rise above it.
				c.rereadPart(c.parts[g.part])
				for _, m := range g.list() {
					if m.outbid {
						m.outbid = false
						c.bump(m)
					}
				}
				c.writeGroup(g, prioStart)
				return
			}
			to = part
		default:
			c.after(second, func() {
				if c.groups[g.id] == g {
					c.checkGroup(g)
				}
			})
			return
		}
		for _, m := range g.list() {
			for _, a := range m.sorted() {
				if a.phase != aRecording && !a.gone {
					c.suspect(c.parts[g.part], g.key(), "moved while it listed tasks")
					return
				}
			}
		}
		c.groupMoved(g, to)
	})
}

// groupMoved forgets a group that another part has taken. Its record listed no
// task, so what was planned for it was never sent.
func (c *Core) groupMoved(g *group, to Part) {
	c.logf("debug", "group moved away", "group", g.id, "machines", len(g.ms), "to", int(to))
	delete(c.groups, g.id)
	for _, m := range g.list() {
		c.dropMachine(m)
		for _, a := range m.sorted() {
			c.freeTask(a)
		}
		if to >= 0 && int(to) < len(c.parts) {
			c.owners[m.id] = ownerNote{to, c.now}
		}
	}
}

// learnGroup takes a group's record over from an earlier holder.
func (c *Core) learnGroup(kv KV, p *part) {
	id := strings.TrimPrefix(kv.Key, "groups/")
	part, ms, err := decodeGroup(kv.Value)
	if err != nil || part < 0 || int(part) >= len(c.parts) {
		// Whose it is may be unreadable too; then each part that is taken over
		// clears it, and the first to do so is enough.
		if of, ok := groupPart(kv.Value, len(c.parts)); !ok || of == p.id {
			c.setAside(p, kv, fmt.Sprint(err))
		}
		return
	}
	if part != p.id {
		c.noteOwners(part, ms)
		return
	}
	if old := c.groups[id]; old != nil {
		// Two parts are held here and the group moved between them: the
		// reading may be older than the move.
		if old.mark >= kv.Mark || old.part == p.id {
			return
		}
		c.groupMoved(old, p.id)
	}
	if len(ms) == 0 {
		c.dropEmpty(p, kv)
		return
	}
	for i := range ms {
		// The same by machine: another part held here may have taken the group
		// and joined it with others since it was read. The later write counts.
		if x := c.machines[ms[i].id]; x != nil && x.part != p.id {
			if uint64(x.token) > uint64(kv.Mark) {
				return
			}
			c.groupMoved(x.g, p.id)
		}
	}
	g := c.newGroup(p, id, kv.Mark)
	g.size = len(kv.Value)
	for _, l := range ms {
		// The claim is later than every move of a machine of the part.
		m := c.machines[l.id]
		if m == nil { // else listed twice: whatever either lists counts
			m = c.addMachine(g, l, Token(p.claim))
		}
		m.returning, m.returned = m.returning || l.returned, m.returned || l.returned
		for _, t := range l.tasks {
			if why := c.learnTask(m, t, p); why != "" {
				c.setAside(p, kv, why)
				return
			}
		}
	}
}

// dropEmpty removes an emptied group that an earlier claim left behind. The
// claim that made it may be another part's and still in force, since groups
// move: a late copy of its creation would then be carried out once the key is
// absent. So the key goes only while no part's claim is the one in its name, on
// condition of all their marks; else it stays until the next claim.
func (c *Core) dropEmpty(p *part, kv KV) {
	made, ok := claimOf(kv.Key)
	if !ok {
		return
	}
	x := &write{part: p.id, keys: []string{kv.Key}, mostAlso: len(c.parts), ok: func(Epoch) {}, conflict: func() {}}
	x.build = func(string) ([]TxnOp, []Mark) {
		x.also = nil
		for _, q := range c.parts {
			if q.mark == Mark(made) {
				return nil, nil
			}
			if q != p {
				x.also = append(x.also, Cond{q.key(), q.mark})
			}
		}
		return []TxnOp{{kv.Key, nil}}, []Mark{kv.Mark}
	}
	c.w.add(prioLazy, x)
}

// claimOf reads from a group's key the claim under which it was made.
func claimOf(key string) (Epoch, bool) {
	f := strings.Split(key, "-")
	if len(f) < 3 {
		return 0, false
	}
	n, err := strconv.ParseUint(f[len(f)-2], 10, 64)
	return Epoch(n), err == nil
}

// dropKey removes a part's key when there is time.
func (c *Core) dropKey(p *part, key string, mark Mark) {
	c.w.add(prioLazy, &write{
		part: p.id, keys: []string{key},
		build:    func(string) ([]TxnOp, []Mark) { return []TxnOp{{key, nil}}, []Mark{mark} },
		ok:       func(Epoch) {},
		conflict: func() {},
	})
}

// learnTask takes in a task that an earlier holder's record lists. It returns
// what makes no sense about it.
func (c *Core) learnTask(m *machine, t listedTask, p *part) string {
	m.stored++
	jid := t.task.Job
	j := c.jobs.held[jid]
	if j == nil {
		k := c.jobs.known[jid]
		switch {
		case k == nil:
			return "lists a task of no known job"
		case k.final == StCancelled:
			j = newJob(JobSpec{ID: jid, Team: k.team, Need: k.need, Tasks: k.tasks}, p.id, 0, c.now)
			j.final, j.cancelling = StCancelled, true
			c.addJob(j)
		default:
			return "" // done: what the worker still shows is reaped
		}
	}
	if t.task.Index >= len(j.state) {
		return "lists a task beyond its job"
	}
	if j.state[t.task.Index] >= tDone {
		return ""
	}
	a := &assign{task: t.task, mach: m.id, j: j, attempt: t.attempt, phase: aDoubt, need: j.spec.Need, stop: j.final != ""}
	m.addAssign(a)
	if j.state[t.task.Index] == tPending {
		j.setPlaced(t.task.Index, a)
	}
	return ""
}

func (c *Core) noteOwners(part Part, ms []listedMachine) {
	for i := range ms {
		c.owners[ms[i].id] = ownerNote{part, c.now}
	}
}
