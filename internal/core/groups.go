package core

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"stairrelay/internal/grouprecord"
)

// A record of its own per machine would cost a put per wave of starts on each;
// with hundreds of machines that is many times the store's write rate. So one
// record covers a group of a part's machines. A machine is listed in exactly
// one group; it changes groups only by a transaction that writes both, and
// changes parts only with its whole group, by a conditional write on the
// group's record at a mark at which that lists no task.

type group struct {
	id       string
	part     Part
	mark     Mark
	machines map[MachineID]*machine

	writing     bool   // a write is queued or on its way
	sent        bool   // it is on its way: what it lists is settled until it is answered
	queuedWrite *write // it is queued
	again       int    // the priority of the next write that is wanted, or prios
	checking    bool
	size        int // of the record as last built
	added       int // bytes that may have come on top since
	minPieces   int // into how many it is to be split at least, after a refusal
	offer       *groupOffer
}

// groupOffer says that a part may take the group. Until then nothing is
// started on its machines; a write of ours after that makes a late take fail.
type groupOffer struct {
	to    Part
	until Time
}

func (g *group) key() string { return "groups/" + g.id }

func (g *group) list() []*machine {
	l := make([]*machine, 0, len(g.machines))
	for _, m := range g.machines {
		l = append(l, m)
	}
	sort.Slice(l, func(i, k int) bool { return l[i].id < l[k].id })
	return l
}

// valueLimit decides how large the groups' records get.
func (c *Core) valueLimit() grouprecord.ValueLimit { return grouprecord.ValueLimit(c.cfg.ValueBytes) }

// groupMachines is how many machines a record is made for.
func (c *Core) groupMachines() int { return c.valueLimit().Machines() }

// length is how long the group's record may be by now.
func (g *group) length() int { return g.size + g.added }

// room tells whether the record can list one more task of a job.
func (c *Core) room(g *group, j *job) bool {
	return c.valueLimit().HasRoom(g.length(), j.spec.ID)
}

// snapshot remembers what a built record says, for when it is stored.
type snapshot struct {
	machines []machineSnap
	left     []*machine // not listed any more: the cloud has taken them back
	size     int
}

type machineSnap struct {
	machine   *machine
	in, out   []*assign
	completed []*assign // not listed either, but kept until their outcomes are stored
	bump, ret bool
}

// snap builds the record of a group that consists of the given machines. Nil:
// there is nothing left to list.
func (c *Core) snap(part Part, ms []*machine, nonce string) ([]byte, *snapshot) {
	s := &snapshot{machines: make([]machineSnap, 0, len(ms))}
	lines := make([]grouprecord.Machine, 0, len(ms))
	for _, m := range ms {
		if m.dead {
			s.left = append(s.left, m)
			continue
		}
		x := machineSnap{machine: m, bump: m.bumping, ret: m.returning}
		line := grouprecord.Machine{ID: m.id, Kind: m.kind(), Address: m.addr, Returned: m.returning, Booting: m.booting}
		for _, a := range m.sorted() {
			switch {
			case a.gone:
				x.out = append(x.out, a)
				continue
			case a.completed():
				// It is not on the machine any more, and the worker goes on showing
				// it until its outcome is stored: a successor learns it from there.
				x.completed = append(x.completed, a)
				continue
			}
			x.in = append(x.in, a)
			line.Tasks = append(line.Tasks, grouprecord.Task{ID: a.task, Attempt: a.attempt})
		}
		s.machines = append(s.machines, x)
		lines = append(lines, line)
	}
	// An emptied group's key is kept, with nothing listed: once it were absent,
	// a late copy of the transaction that created it would be carried out again.
	// The next claim, which fences such copies, drops it.
	v := grouprecord.Encode(grouprecord.Record{Part: part, Machines: lines, Nonce: nonce})
	s.size = len(v)
	return v, s
}

// bumpWeight is how many times its size a machine counts whose token is to be
// raised: it starts nothing until then, and the leases of its tasks run on.
const bumpWeight = 4

// cpusWaiting counts the CPUs that wait for the groups' records: of tasks that
// may start, here or elsewhere, once the record says so, and of machines that
// can be used, or offered, only after it.
func (c *Core) cpusWaiting(groups ...*group) float64 {
	var sum Amount
	for _, g := range groups {
		for _, m := range g.machines {
			size := c.types[m.typ].Cap.CPU
			if m.bumping {
				sum += bumpWeight * size
			} else if m.yield {
				sum += size
			}
			for _, a := range m.assigns {
				if a.phase == aRecording || a.gone && a.job.active() {
					sum += a.need.CPU
				}
			}
		}
	}
	return float64(sum) / 1e6
}

// writeMachine stores which tasks may be on a machine, with the rest of its
// group. All that changes while the write waits its turn goes into the same put.
func (c *Core) writeMachine(m *machine, prio int) { c.writeGroup(m.group, prio) }

// groupWrite is the write of one group's record.
type groupWrite struct {
	core  *Core
	part  *part
	claim Epoch
	group *group
	prio  int
	snap  *snapshot // of the last record built
}

// writeGroup stores a group's record. One that is on its way already is followed
// by another. While its record is being read after a conflict nothing is written:
// a write at a revision that is known to be wrong would conflict again, and that
// one's check would be told nothing for the next, without end.
func (c *Core) writeGroup(g *group, prio int) {
	if g.checking {
		g.again = min(g.again, prio)
		return
	}
	if g.writing {
		g.again = min(g.again, prio)
		c.writer.promote(g.key(), prio)
		return
	}
	g.writing, g.again = true, prios
	p := c.parts[g.part]
	w := &groupWrite{core: c, part: p, claim: p.claim, group: g, prio: prio}
	g.queuedWrite = &write{
		part:        g.part,
		keys:        []string{g.key()},
		cpusWaiting: func() float64 { return c.cpusWaiting(g) },
		build:       w.build,
		ok:          w.stored,
		conflict:    w.refused,
		tooLarge:    w.tooLarge,
		lost:        g.endWrite,
	}
	c.writer.add(prio, g.queuedWrite)
}

// endWrite notes that no write of the record is under way any more.
func (g *group) endWrite() { g.writing, g.sent = false, false }

// current tells whether the group is still held under the claim of the write.
func (w *groupWrite) current() bool {
	return w.core.groups[w.group.id] == w.group && w.part.heldUnder(w.claim)
}

func (w *groupWrite) build(nonce string) ([]TxnOp, []Mark) {
	c, g := w.core, w.group
	g.queuedWrite = nil
	if c.groups[g.id] != g {
		g.writing = false
		return nil, nil
	}
	g.sent, g.again, g.added = true, prios, 0
	var v []byte
	v, w.snap = c.snap(g.part, g.list(), nonce)
	g.size = w.snap.size
	return []TxnOp{{g.key(), v}}, []Mark{g.mark}
}

func (w *groupWrite) stored(e Epoch) {
	w.group.endWrite()
	if !w.current() {
		return
	}
	w.group.mark = Mark(e)
	w.core.groupStored(w.group, w.snap, e)
	w.core.writeAgain(w.group)
}

// refused follows a conflict with another writer.
func (w *groupWrite) refused() {
	w.group.endWrite()
	if w.core.groups[w.group.id] == w.group {
		w.core.checkGroup(w.group)
	}
}

// tooLarge follows the store's refusal of a record by its length: the group is
// split, or tried again where it has one machine.
func (w *groupWrite) tooLarge() {
	c, g := w.core, w.group
	g.endWrite()
	if !w.current() {
		return
	}
	g.again = min(g.again, w.prio)
	if len(g.machines) > 1 {
		again := g.again
		c.splitGroup(w.part, g)
		g.again = again
		return
	}
	c.after(second, func() { c.writeAgain(g) })
}

// writeAgain queues the write that was wanted while one was on its way.
func (c *Core) writeAgain(g *group) {
	if g.again < prios && c.groups[g.id] == g {
		c.writeGroup(g, g.again)
	}
}

// groupStored follows a stored record: what it lists may be started, what it
// no longer lists may be started elsewhere.
func (c *Core) groupStored(g *group, s *snapshot, e Epoch) {
	for i := range s.machines {
		x := &s.machines[i]
		m := x.machine
		if c.machines[m.id] != m {
			continue
		}
		m.stored = len(x.in)
		if m.pending != 0 {
			c.heldReports.changed = append(c.heldReports.changed, m)
		}
		for _, a := range x.in {
			if a.phase != aRecording {
				continue
			}
			a.phase = aReady
			if !a.job.active() {
				c.setGone(m, a) // cancelled meanwhile, never sent
			} else {
				c.orderSoon(m)
			}
		}
		for _, a := range x.out {
			c.removeAssign(m, a)
		}
		for _, a := range x.completed {
			if a.unlisted = true; c.storedDone(a) {
				c.removeAssign(m, a)
			}
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
	if len(g.machines) == 0 {
		delete(c.groups, g.id)
	}
}

func (c *Core) newGroup(p *part, id string, mark Mark) *group {
	g := &group{id: id, part: p.id, mark: mark, machines: map[MachineID]*machine{}, again: prios}
	c.groups[id] = g
	return g
}

// tidyGroups keeps records well under the value limit, and few: every group
// with a change costs a put.
func (c *Core) tidyGroups(p *part) {
	limit := c.valueLimit()
	var small []*group
	for _, id := range sortedKeys(c.groups) {
		g := c.groups[id]
		if g.part != p.id || g.sent || g.offer != nil || len(g.machines) == 0 {
			continue
		}
		if size := g.length(); limit.TooLong(size) && len(g.machines) > 1 {
			c.splitGroup(p, g)
		} else if limit.Short(size) {
			small = append(small, g)
		}
	}
	sort.SliceStable(small, func(i, k int) bool { return small[i].length() < small[k].length() })
	sizes := make([]grouprecord.Size, len(small))
	for i, g := range small {
		sizes[i] = grouprecord.Size{Bytes: g.length(), Machines: len(g.machines)}
	}
	n := limit.Joinable(sizes, c.cfg.TxnOps)
	if n < 2 {
		return
	}
	into := small[n-1] // the largest of them stays
	var move []*machine
	for _, g := range small[:n-1] {
		move = append(move, g.list()...)
	}
	// With the starts: most of these groups have a write waiting, which this
	// one makes needless, and each less saves a put per wave from now on.
	c.regroup(p, move, into, prioStart, func(*group) {})
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
		defer c.writeAgain(g)
		to := NoPart
		switch r.Out {
		case Missing:
		case OK:
			rec, err := grouprecord.Decode(r.KV.Value)
			if err != nil {
				c.broken(c.parts[g.part], g.key(), err.Error())
				return
			}
			if rec.Part == g.part {
				if r.KV.Mark > g.mark && !g.writing {
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
			to = rec.Part
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
	c.logf(LogDebug, "group moved away", "group", g.id, "machines", len(g.machines), "to", int(to))
	delete(c.groups, g.id)
	for _, m := range g.list() {
		c.dropMachine(m)
		for _, a := range m.sorted() {
			c.freeTask(a)
		}
		if to >= 0 && int(to) < len(c.parts) {
			c.owners.note(m.id, to, c.now)
		}
	}
}

// learnGroup takes a group's record over from an earlier holder.
func (c *Core) learnGroup(kv KV, p *part) {
	id := strings.TrimPrefix(kv.Key, "groups/")
	rec, err := grouprecord.Decode(kv.Value)
	part, ms := rec.Part, rec.Machines
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
		if x := c.machines[ms[i].ID]; x != nil && x.part != p.id {
			if uint64(x.token) > uint64(kv.Mark) {
				return
			}
			c.groupMoved(x.group, p.id)
		}
	}
	g := c.newGroup(p, id, kv.Mark)
	g.size = len(kv.Value)
	for _, l := range ms {
		// The claim is later than every move of a machine of the part.
		m := c.machines[l.ID]
		if m == nil { // else listed twice: whatever either lists counts
			m = c.addMachine(g, l, Token(p.claim))
		}
		m.returning, m.returned = m.returning || l.Returned, m.returned || l.Returned
		for _, t := range l.Tasks {
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
	c.writer.add(prioLazy, x)
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
	c.writer.add(prioLazy, &write{
		part: p.id, keys: []string{key},
		build:    func(string) ([]TxnOp, []Mark) { return []TxnOp{{key, nil}}, []Mark{mark} },
		ok:       func(Epoch) {},
		conflict: func() {},
	})
}

// learnTask takes in a task that an earlier holder's record lists. It returns
// what makes no sense about it.
func (c *Core) learnTask(m *machine, t grouprecord.Task, p *part) string {
	m.stored++
	jid := t.ID.Job
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
	if t.ID.Index >= len(j.state) {
		return "lists a task beyond its job"
	}
	if j.state[t.ID.Index] >= tDone {
		return ""
	}
	a := &assign{task: t.ID, mach: m.id, job: j, attempt: t.Attempt, phase: aDoubt, need: j.spec.Need, stop: j.final != ""}
	m.addAssign(a)
	if j.state[t.ID.Index] == tPending {
		j.setPlaced(t.ID.Index, a)
	}
	return ""
}

func (c *Core) noteOwners(part Part, ms []grouprecord.Machine) {
	for i := range ms {
		c.owners.note(ms[i].ID, part, c.now)
	}
}
