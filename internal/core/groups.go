package core

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
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

// --- the record's form ---

type groupKind struct {
	Type string `json:"f"`
	Zone string `json:"y"`
	Spot bool   `json:"s,omitempty"`
}

// groupRecord is what groups/<id> holds. Each machine is one string: its id,
// kind and flags, address, then its tasks as job:first-last@attempt, where
// attempts count up along the range and belong to a claim of the table.
type groupRecord struct {
	Part     Part        `json:"p"`
	Claims   []uint64    `json:"c,omitempty"`
	Kinds    []groupKind `json:"k,omitempty"`
	Jobs     []JobID     `json:"j,omitempty"`
	Machines []string    `json:"m"`
	W        string      `json:"w"`
}

type listedTask struct {
	task    TaskID
	attempt Attempt
}

// listedMachine is a machine as a record lists it.
type listedMachine struct {
	id       MachineID
	kind     groupKind
	addr     string
	returned bool
	booting  bool
	tasks    []listedTask
}

const attemptBits = 20

// packAddr shortens an IPv4 address with its port to 8 characters.
func packAddr(a string) string {
	if ap, err := netip.ParseAddrPort(a); err == nil && ap.Addr().Is4() && ap.String() == a {
		ip := ap.Addr().As4()
		return base64.RawURLEncoding.EncodeToString([]byte{ip[0], ip[1], ip[2], ip[3], byte(ap.Port() >> 8), byte(ap.Port())})
	}
	if a == "" || strings.ContainsAny(a, " \n") {
		return "."
	}
	return "=" + a
}

func unpackAddr(s string) (string, error) {
	if s == "." {
		return "", nil
	}
	if strings.HasPrefix(s, "=") {
		return s[1:], nil
	}
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil || len(b) != 6 {
		return "", errors.New("address")
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), uint16(b[4])<<8|uint16(b[5])).String(), nil
}

func encodeGroup(part Part, ms []listedMachine, nonce string) []byte {
	rec := groupRecord{Part: part, W: nonce, Machines: make([]string, 0, len(ms))}
	kinds, jobs, claims := map[groupKind]int{}, map[JobID]int{}, map[uint64]int{}
	var b []byte
	for i := range ms {
		m := &ms[i]
		k, ok := kinds[m.kind]
		if !ok {
			k = len(rec.Kinds)
			kinds[m.kind] = k
			rec.Kinds = append(rec.Kinds, m.kind)
		}
		b = append(b[:0], m.id...)
		b = append(b, ' ')
		b = strconv.AppendInt(b, int64(k), 10)
		if m.returned {
			b = append(b, 'r')
		}
		if m.booting {
			b = append(b, 'b')
		}
		b = append(b, ' ')
		b = append(b, packAddr(m.addr)...)
		for n := 0; n < len(m.tasks); {
			t := m.tasks[n]
			last := n
			for last+1 < len(m.tasks) && m.tasks[last+1].task.Job == t.task.Job && m.tasks[last+1].task.Index == m.tasks[last].task.Index+1 &&
				m.tasks[last+1].attempt == m.tasks[last].attempt+1 {
				last++
			}
			j, ok := jobs[t.task.Job]
			if !ok {
				j = len(rec.Jobs)
				jobs[t.task.Job] = j
				rec.Jobs = append(rec.Jobs, t.task.Job)
			}
			claim := uint64(t.attempt) >> attemptBits
			k, ok := claims[claim]
			if !ok {
				k = len(rec.Claims)
				claims[claim] = k
				rec.Claims = append(rec.Claims, claim)
			}
			b = append(b, ' ')
			b = strconv.AppendInt(b, int64(j), 10)
			b = append(b, ':')
			b = strconv.AppendInt(b, int64(t.task.Index), 10)
			if last > n {
				b = append(b, '-')
				b = strconv.AppendInt(b, int64(m.tasks[last].task.Index), 10)
			}
			b = append(b, '@')
			if k > 0 {
				b = strconv.AppendInt(b, int64(k), 10)
				b = append(b, '.')
			}
			b = strconv.AppendUint(b, uint64(t.attempt)&(1<<attemptBits-1), 36)
			n = last + 1
		}
		rec.Machines = append(rec.Machines, string(b))
	}
	v, _ := json.Marshal(rec)
	return v
}

// decodeGroup reads a record; whatever makes no sense in it is an error, as a
// task that is overlooked could run twice.
func decodeGroup(v []byte) (Part, []listedMachine, error) {
	var rec groupRecord
	if err := json.Unmarshal(v, &rec); err != nil {
		return 0, nil, fmt.Errorf("reading group: %w", err)
	}
	if rec.Machines == nil {
		return 0, nil, errors.New("group without machines")
	}
	out := make([]listedMachine, 0, len(rec.Machines))
	for _, s := range rec.Machines {
		f := strings.Split(s, " ")
		if len(f) < 3 || f[0] == "" {
			return 0, nil, fmt.Errorf("machine %q", s)
		}
		m := listedMachine{id: MachineID(f[0])}
		kind := strings.TrimRight(f[1], "rb")
		m.returned, m.booting = strings.Contains(f[1], "r"), strings.Contains(f[1], "b")
		k, err := strconv.Atoi(kind)
		if err != nil || k < 0 || k >= len(rec.Kinds) {
			return 0, nil, fmt.Errorf("machine %q: kind", s)
		}
		m.kind = rec.Kinds[k]
		if m.addr, err = unpackAddr(f[2]); err != nil {
			return 0, nil, fmt.Errorf("machine %q: %w", s, err)
		}
		for _, t := range f[3:] {
			if err := m.addTasks(&rec, t); err != nil {
				return 0, nil, fmt.Errorf("machine %q: %w", s, err)
			}
		}
		out = append(out, m)
	}
	return rec.Part, out, nil
}

func (m *listedMachine) addTasks(rec *groupRecord, s string) error {
	bad := fmt.Errorf("tasks %q", s)
	where, attempt, ok := strings.Cut(s, "@")
	job, span, ok2 := strings.Cut(where, ":")
	j, err := strconv.Atoi(job)
	if !ok || !ok2 || err != nil || j < 0 || j >= len(rec.Jobs) {
		return bad
	}
	lo, hi, two := strings.Cut(span, "-")
	from, err := strconv.Atoi(lo)
	to := from
	if err == nil && two {
		to, err = strconv.Atoi(hi)
	}
	claim := 0
	if k, a, ok := strings.Cut(attempt, "."); ok && err == nil {
		claim, err = strconv.Atoi(k)
		attempt = a
	}
	n, err2 := strconv.ParseUint(attempt, 36, attemptBits)
	if err != nil || err2 != nil || from < 0 || to < from || to > 100_000 || claim < 0 || claim >= len(rec.Claims) {
		return bad
	}
	for i := from; i <= to; i++ {
		m.tasks = append(m.tasks, listedTask{TaskID{rec.Jobs[j], i}, Attempt(rec.Claims[claim]<<attemptBits | n + uint64(i-from))})
	}
	return nil
}

// --- writing ---

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
	if len(lines) == 0 {
		return nil, s
	}
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
			if v == nil || len(v) > c.cfg.ValueBytes*17/20 || len(moving) == 0 {
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
			l := g.list()
			c.regroup(p, l[len(l)/2:], nil, prioDone, func(*group) {})
			return
		} else if size < c.cfg.ValueBytes/2 {
			small = append(small, g)
		}
	}
	sort.SliceStable(small, func(i, k int) bool { return small[i].size+small[i].added < small[k].size+small[k].added })
	size, n := 0, 0
	var move []*machine
	var into *group
	for i, g := range small {
		size, n = size+g.size+g.added, n+len(g.ms)
		if size > c.cfg.ValueBytes*13/20 || n > 2*c.groupMachines() || i == c.cfg.TxnOps-1 {
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
	for i := range ms {
		// The same by machine: another part held here may have taken the group
		// and joined it with others since it was read. The later write counts.
		if x := c.machines[ms[i].id]; x != nil && uint64(x.token) > uint64(kv.Mark) {
			return
		} else if x != nil {
			c.groupMoved(x.g, p.id)
		}
	}
	g := c.newGroup(p, id, kv.Mark)
	g.size = len(kv.Value)
	for _, l := range ms {
		// The claim is later than every move of a machine of the part.
		m := c.addMachine(g, l, Token(p.claim))
		m.returning, m.returned = l.returned, l.returned
		for _, t := range l.tasks {
			if why := c.learnTask(m, t, p); why != "" {
				c.setAside(p, kv, why)
				return
			}
		}
	}
}

// learnTask takes in a task that an earlier holder's record lists. It returns
// what makes no sense about it.
func (c *Core) learnTask(m *machine, t listedTask, p *part) string {
	m.stored++
	jid := t.task.Job
	j := c.jobs[jid]
	if j == nil {
		k := c.known[jid]
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

// --- moving idle machines between parts ---

// GroupOffer tells a part of a group of idle machines that it may take.
type GroupOffer struct {
	Key   string
	Mark  Mark
	To    Part
	Kinds []KindCount
}

// KindCount counts like machines.
type KindCount struct {
	Type, Zone string
	Spot       bool
	N          int
}

// offers lists the groups that the parts held here offer to others.
func (c *Core) offers() []GroupOffer {
	var out []GroupOffer
	for _, id := range sortedKeys(c.groups) {
		g := c.groups[id]
		if g.offer == nil || g.w {
			continue
		}
		n := map[groupKind]int{}
		var kinds []groupKind
		for _, m := range g.list() {
			k := groupKind{m.typ, m.zone, m.spot}
			if n[k] == 0 {
				kinds = append(kinds, k)
			}
			n[k]++
		}
		o := GroupOffer{Key: g.key(), Mark: g.mark, To: g.offer.to}
		for _, k := range kinds {
			o.Kinds = append(o.Kinds, KindCount{k.Type, k.Zone, k.Spot, n[k]})
		}
		out = append(out, o)
	}
	return out
}

// endOffers takes back what nobody took in time, whether or not anybody still
// lacks machines: an offered group gets no work.
func (c *Core) endOffers() {
	for _, g := range c.groups {
		if g.offer != nil && c.now > g.offer.until {
			g.offer = nil
			c.placing = true
		}
	}
}

// offerIdle offers a part's idle machines to those that lack some. They are
// gathered into groups of their own, so that one write moves many.
func (c *Core) offerIdle(p *part, loads map[Part]PartLoad, want map[Part]Amount) {
	if c.now < p.offerAfter {
		return
	}
	idle := c.idleOf(p)
	if len(idle) == 0 {
		return
	}
	lacking, lacks := make([]Part, 0, len(loads)), map[Part]Amount{}
	for q, l := range loads {
		if q != p.id && want[q] > l.Have {
			lacking = append(lacking, q)
			lacks[q] = want[q] - l.Have
		}
	}
	sort.Slice(lacking, func(i, k int) bool {
		a, b := lacking[i], lacking[k]
		return lacks[a] > lacks[b] || lacks[a] == lacks[b] && a < b
	})
	work := c.unplaced(p)
	var spare []*machine
	for _, m := range idle {
		if m.yield || c.fill(work, c.types[m.typ].Cap, func(j *job) bool { return c.allowedOn(j, m) }) == 0 {
			spare = append(spare, m)
		}
	}
	for _, id := range sortedKeys(c.groups) {
		if g := c.groups[id]; g.part == p.id && g.offer != nil {
			lacks[g.offer.to] -= c.cpus(g)
		}
	}
	for _, q := range lacking {
		lack := lacks[q]
		var ms []*machine
		groups := map[*group]bool{}
		for len(spare) > 0 && lack > 0 && len(ms) < c.groupMachines() && (len(groups) < c.cfg.TxnOps-1 || groups[spare[0].g]) {
			m := spare[0]
			spare = spare[1:]
			ms = append(ms, m)
			groups[m.g] = true
			lack -= c.types[m.typ].Cap.CPU
		}
		if len(ms) == 0 {
			continue
		}
		p.offerAfter = c.now + second
		offer := func(g *group) {
			if g != nil {
				g.offer = &groupOffer{to: q, until: c.now + 5*second}
				c.offersChanged = true
			}
		}
		if len(groups) == 1 && len(ms) == len(ms[0].g.ms) {
			offer(ms[0].g)
			continue
		}
		for _, m := range ms {
			m.yield = true
		}
		c.regroup(p, ms, nil, prioStart, offer)
	}
}

// cpus is what a group's machines have in all.
func (c *Core) cpus(g *group) Amount {
	var sum Amount
	for _, m := range g.ms {
		sum += c.types[m.typ].Cap.CPU
	}
	return sum
}

// takeOffered takes groups that others offer to a part, if it has a use for them.
func (c *Core) takeOffered(p *part, work []waitingWork) {
	use := func(o GroupOffer) bool {
		took := 0
		for _, k := range o.Kinds {
			for range k.N {
				took += c.fill(work, c.types[k.Type].Cap, func(j *job) bool { return c.optionAllowed(j, rentOption{k.Type, k.Zone, k.Spot}) })
			}
		}
		return took > 0
	}
	for _, id := range c.cfg.Nodes {
		q := c.peers[id]
		if q == nil || q.failed || c.now-q.pingAt > 3*second {
			continue
		}
		for _, o := range q.ping.Groups {
			if o.To != p.id || q.taken[o.Key] == o.Mark || !use(o) {
				continue
			}
			if q.taken == nil {
				q.taken = map[string]Mark{}
			}
			q.taken[o.Key] = o.Mark
			c.takeGroup(p, o.Key, o.Mark)
		}
	}
	for _, o := range c.offers() { // parts held here have nobody to ask
		if o.To == p.id && use(o) {
			c.takeGroup(p, o.Key, o.Mark)
		}
	}
}

// takeGroup moves a group of idle machines here by a conditional write on a
// record that lists no task. The revision of this write is the machines'
// token: it lies above all earlier ones.
func (c *Core) takeGroup(p *part, key string, mark Mark) {
	claim := p.claim
	id := strings.TrimPrefix(key, "groups/")
	c.get(key, func(r GetReply) {
		if r.Out != OK || r.KV.Mark != mark || !p.held || p.claim != claim {
			return
		}
		part, ms, err := decodeGroup(r.KV.Value)
		if err != nil || part == p.id || len(ms) == 0 {
			return
		}
		for _, m := range ms {
			if len(m.tasks) > 0 || m.returned {
				return
			}
		}
		if g := c.groups[id]; g != nil { // held here too
			if g.w || g.mark != mark || g.offer == nil {
				return
			}
			for _, m := range g.ms {
				if len(m.assigns) > 0 {
					return
				}
			}
			c.groupMoved(g, p.id)
		}
		size := 0
		c.w.add(prioRent, &write{
			part: p.id, keys: []string{key},
			build: func(nonce string) ([]TxnOp, []Mark) {
				v := encodeGroup(p.id, ms, nonce)
				size = len(v)
				return []TxnOp{{key, v}}, []Mark{mark}
			},
			ok: func(e Epoch) {
				if !p.held || p.claim != claim || c.groups[id] != nil {
					return
				}
				g := c.newGroup(p, id, Mark(e))
				g.size = size
				for _, l := range ms {
					if c.machines[l.id] == nil {
						c.addMachine(g, l, Token(e))
					}
				}
				c.logf("debug", "took idle machines", "group", id, "machines", len(ms), "part", int(p.id), "from", int(part))
				c.placing = true
				c.machineSweep()
			},
			conflict: func() {},
		})
	})
}

// --- machines that no record lists ---

// enlist writes machines that no record lists into a new group of a part. done
// is called when that is stored, or has failed.
func (c *Core) enlist(p *part, ms []listedMachine, done func()) {
	claim := p.claim
	id := c.groupName(p)
	size := 0
	c.w.add(prioRent, &write{
		part: p.id, keys: []string{"groups/" + id},
		build: func(nonce string) ([]TxnOp, []Mark) {
			ms = slices.DeleteFunc(ms, func(l listedMachine) bool { return c.machines[l.id] != nil })
			if len(ms) == 0 {
				done()
				return nil, nil
			}
			v := encodeGroup(p.id, ms, nonce)
			size = len(v)
			return []TxnOp{{"groups/" + id, v}}, []Mark{0}
		},
		ok: func(e Epoch) {
			if p.held && p.claim == claim {
				c.addGroup(p, id, ms, size, e)
			}
			done()
		},
		conflict: done,
		lost:     done,
	})
}

// addGroup follows the first record of machines that only this claim has owned.
func (c *Core) addGroup(p *part, id string, ms []listedMachine, size int, e Epoch) {
	g := c.newGroup(p, id, Mark(e))
	g.size = size
	for _, l := range ms {
		if c.machines[l.id] == nil {
			m := c.addMachine(g, l, Token(e))
			m.first = m.token
		}
	}
	c.placing = true
}
