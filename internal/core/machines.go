package core

import (
	"slices"
	"sort"

	"stairrelay/internal/grouprecord"
)

// Phases of a task on a machine. The machine's stored record lists every task
// from aReady on; a task leaves m.assigns only after a stored record without it.
type phase uint8

const (
	aRecording phase = iota // the record that lists it is not stored yet
	aReady                  // recorded, the start may be sent
	aSent                   // the start was sent, no report has shown it
	aSeen                   // a report has shown it
	aEnded                  // a report has shown it ended
	aDoubt                  // listed by an earlier holder's record, not compared yet
)

// assign is a task that is, or may be, on a machine.
type assign struct {
	task      TaskID
	mach      MachineID
	job       *job
	attempt   Attempt
	phase     phase
	cause     Cause
	need      Res
	gone      bool // proven not to be on the machine; waits for the record to say so
	counted   bool // in its machine's use
	unlisted  bool // completed, and the stored record does not list it any more
	viaOrders bool
	sentStamp Stamp
	state     TaskState
	stop      bool // is to be stopped
	grace     float64
	stopSent  Time
	stopAt    Time // when its stop was decided
	runAt     Time
	partial   bool // its start was not seen
}

// start is one start of a task. A worker may hold two at once: it refuses a
// second attempt as busy and reports both.
type start struct {
	task    TaskID
	attempt Attempt
}

func (a *assign) start() start { return start{a.task, a.attempt} }

// completed tells whether a report has shown that the task has run to its end.
func (a *assign) completed() bool { return a.phase == aEnded && a.cause == CauseDone }

func (a *assign) live() bool { return a.phase != aEnded && !a.gone }

type image struct {
	name string
	gb   float64
}

// machine of a part held here.
type machine struct {
	id        MachineID
	part      Part
	group     *group
	addr      string
	typ       string
	zone      string
	spot      bool
	token     Token
	acked     bool  // the worker's highest token is ours
	taken     bool  // taken over with its part, and not so since
	unackedAt Time  // since when it is not
	outbid    bool  // its worker has seen a higher token
	first     Token // of a machine that only this claim has ever owned: its token; else 0
	since     Time  // when this node began to own it
	booting   bool

	session Session
	stamp   Stamp
	heard   Time
	assigns map[TaskID]*assign
	use     machineUse
	reap    map[start]bool // ended, the record no longer lists it
	kill    map[start]bool // running without being listed
	stored  int            // tasks in the stored record

	bumping  bool // a higher token is to be stored
	unsure   bool // a start sent by /orders may yet arrive
	unlisted bool // not in the cloud's list when it was last read
	dead     bool // the cloud has taken it back; the record has to say so

	returning  bool
	returned   bool // the record says so, the cloud may be called
	calling    bool
	draining   bool
	noticeAt   Time
	notBefore  Time // no new starts before
	errors     int
	failedJobs map[JobID]bool
	images     []image
	timed      int     // tasks whose pace was compared with their job's others
	pace       float64 // smoothed run time over theirs
	lateHits   int

	pending      ReqID
	reportHeld   bool // among the reports that wait for the next look at all
	pendingStamp Stamp
	deadline     Time
	ordersBusy   bool
	ordersAt     Time
	orderQueued  bool // to be called for its commands
	idleSince    Time
	yield        bool // gets nothing new: another part needs it more
	retire       bool // as before, but only because it costs more than others
}

// kind is what the machine has in common with others of its rental.
func (m *machine) kind() grouprecord.Kind {
	return grouprecord.Kind{Type: m.typ, Zone: m.zone, Spot: m.spot}
}

// tasks is how many tasks the machine's record lists.
func (m *machine) tasks() int { return len(m.assigns) }

func (c *Core) addMachine(g *group, l grouprecord.Machine, token Token) *machine {
	m := &machine{id: l.ID, part: g.part, group: g, addr: l.Address, typ: l.Kind.Type, zone: l.Kind.Zone, spot: l.Kind.Spot, token: token,
		since: c.now, heard: c.now, idleSince: c.now, unackedAt: c.now, booting: l.Booting,
		assigns: map[TaskID]*assign{}, reap: map[start]bool{}, kill: map[start]bool{}, failedJobs: map[JobID]bool{}}
	if old := c.machines[m.id]; old != nil { // never two pictures of one machine
		c.removeMachine(old)
		m.assigns = old.assigns
	}
	p := c.parts[m.part]
	m.use.teams = p.use
	for _, a := range m.assigns {
		m.use.count(a)
	}
	g.machines[m.id] = m
	c.machines[m.id] = m
	i := sort.Search(len(p.machines), func(i int) bool { return p.machines[i].id >= m.id })
	p.machines = slices.Insert(p.machines, i, m)
	delete(c.owners, m.id)
	return m
}

func (c *Core) removeMachine(m *machine) {
	if c.machines[m.id] == m {
		delete(c.machines, m.id)
	}
	delete(m.group.machines, m.id)
	for _, a := range m.assigns {
		m.use.uncount(a)
	}
	p := c.parts[m.part]
	if i := slices.Index(p.machines, m); i >= 0 {
		p.machines = slices.Delete(slices.Clone(p.machines), i, i+1) // somebody may be walking the old list
	}
}

func (m *machine) addAssign(a *assign) {
	if old := m.assigns[a.task]; old != nil { // the same task listed twice
		m.use.uncount(old)
	}
	m.assigns[a.task] = a
	a.job.on[a] = true
	m.use.count(a)
}

// dropMachine forgets a machine that is no longer ours.
func (c *Core) dropMachine(m *machine) {
	c.removeMachine(m)
	if m.pending != 0 {
		c.redirect(m.pending, c.parts[m.part].holder)
		m.pending = 0
	}
}

func (c *Core) redirect(req ReqID, to NodeID) {
	if to == c.cfg.Self {
		to = ""
	}
	c.emit(Respond{Req: req, Status: ReplyElsewhere, Worker: &WorkerAnswer{Redirect: to}})
}

func (m *machine) sorted() []*assign {
	l := make([]*assign, 0, len(m.assigns))
	for _, a := range m.assigns {
		l = append(l, a)
	}
	sort.Slice(l, func(i, k int) bool {
		a, b := l[i].task, l[k].task
		return a.Job < b.Job || a.Job == b.Job && a.Index < b.Index
	})
	return l
}

// busy tells whether a report has shown a task that is still running.
func (m *machine) busy() bool {
	for _, a := range m.assigns {
		if a.phase == aSeen && !a.gone {
			return true
		}
	}
	return false
}

// removeAssign follows a stored record that no longer lists the task: from
// here on it may be started elsewhere.
func (c *Core) removeAssign(m *machine, a *assign) {
	if m.assigns[a.task] != a {
		return
	}
	delete(m.assigns, a.task)
	m.use.uncount(a)
	if a.phase == aEnded {
		m.reap[a.start()] = true
	}
	c.freeTask(a)
	if len(m.assigns) == 0 {
		m.idleSince = c.now
	}
}

func (c *Core) freeTask(a *assign) {
	j := a.job
	delete(j.on, a)
	if j.where[a.task.Index] == a {
		j.setPending(a.task.Index)
		// Two machines may be listed with one task after a take-over: it waits
		// for the other too.
		var other *assign
		for b := range j.on {
			if b != a && b.task == a.task && (other == nil || b.mach < other.mach) {
				other = b
			}
		}
		if other != nil {
			j.setPlaced(a.task.Index, other)
		}
	}
	if j.final != "" && len(j.where) == 0 && c.jobs.holds(j) {
		c.removeJob(j)
	}
	c.placement.request()
}

// checkOwner finds out whether a machine was moved to another part.
func (c *Core) checkOwner(m *machine) {
	m.outbid = true
	c.checkGroup(m.group)
}

// bump raises a machine's token. Whatever was sent under the lower one can't
// be executed any more once the worker has acknowledged the new one.
func (c *Core) bump(m *machine) {
	if m.bumping || m.returning {
		return
	}
	m.bumping = true
	c.writeMachine(m, prioStart)
}
