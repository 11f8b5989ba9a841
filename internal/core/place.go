package core

import (
	"slices"

	"stairrelay/internal/grouprecord"
	"stairrelay/internal/placement"
)

// usable tells whether new starts may go to a machine.
func (c *Core) usable(m *machine) bool {
	return m.acked && !m.booting && !m.draining && !m.returning && !m.unsure && !m.bumping && c.now >= m.notBefore &&
		c.now-m.heard < 2*c.cfg.ReportEvery+second
}

// slot is a machine with room.
type slot struct {
	m       *machine
	free    Res
	kind    int // its index among the kinds of the slots
	fetches placement.Fetches
	size    Amount // CPUs of the whole machine
}

// slots lists the machines with room, and their kinds: what a job may use is
// decided once for all machines of a kind.
func (c *Core) slots(p *part, least Amount) ([]slot, []grouprecord.Kind) {
	var l []slot
	var kinds []grouprecord.Kind
	c.counters.visiting(p.machines)
	for _, m := range p.machines {
		if m.yield && !m.retire || !c.usable(m) || m.group.offer != nil {
			continue
		}
		t, ok := c.types[m.typ]
		if !ok {
			continue
		}
		s := slot{m: m, free: t.Cap.Minus(m.used()), size: t.Cap.CPU, kind: -1}
		if s.free.CPU < least {
			continue
		}
		for _, a := range m.assigns {
			if a.live() && a.runAt == 0 && !m.hasImage(a.job.spec.Image) {
				s.fetching(a.job)
			}
		}
		k := m.kind()
		for i := range kinds {
			if kinds[i] == k {
				s.kind = i
			}
		}
		if s.kind < 0 {
			s.kind = len(kinds)
			kinds = append(kinds, k)
		}
		l = append(l, s)
	}
	return l, kinds
}

// fetching notes that a task of a job waits for its image there.
func (s *slot) fetching(j *job) { s.fetches.Add(j.spec.Image, j.prio, j.spec.Need.CPU) }

// image says how soon the machine can start a job for its image.
func (s *slot) image(j *job) placement.ImageState {
	if s.m.hasImage(j.spec.Image) {
		return placement.ImageCached
	}
	return s.fetches.State(j.spec.Image, j.prio, j.spec.Need.CPU, s.size)
}

// placePause is the least time between two placements: what happens within it
// is decided together.
const placePause = 40 * milli

// place starts waiting tasks of every part held here.
func (c *Core) place() {
	for _, p := range c.parts {
		if p.held && p.ready {
			c.placePart(p)
		}
	}
}

func (c *Core) placePart(p *part) {
	if c.storeLost(second) {
		return
	}
	jobs, owed := c.queued(p)
	if len(jobs) == 0 {
		return
	}
	least := jobs[0].spec.Need.CPU
	for _, j := range jobs {
		least = min(least, j.spec.Need.CPU)
	}
	slots, kinds := c.slots(p, least)
	use := c.teamUse(p)
	// What has waited too long goes first, with one task. Where that does not
	// fit yet, smaller work must not take again and again what it waits for: a
	// part of its team's limit and a machine are kept free for it.
	kept := map[string]Res{}
	for _, j := range jobs {
		if !c.starving(j) {
			continue
		}
		before := j.placed
		if c.placeJob(p, j, slots, kinds, use, Res{}, 1); j.placed > before {
			continue
		}
		kept[j.spec.Team] = kept[j.spec.Team].Plus(j.spec.Need)
		if m := c.keepMachine(p, j); m != nil {
			slots = slices.DeleteFunc(slots, func(s slot) bool { return s.m == m })
		}
	}
	for _, j := range jobs {
		if len(slots) > 0 {
			c.placeJob(p, j, slots, kinds, use, kept[j.spec.Team], j.pending())
		}
	}
	if c.now >= p.preemptAt {
		p.preemptAt = c.now + second/2
		c.preempt(p, jobs, owed, use)
	}
}

// jobPlacement starts tasks of one job on the machines that suit it.
type jobPlacement struct {
	core  *Core
	part  *part
	job   *job
	use   teamUse        // of the job's team, kept up to date
	limit Res            // of the team, less what is kept for starving jobs
	zones map[string]int // the job's tasks by zone
	left  int            // how many tasks may still be started
}

// placeJob starts up to n tasks of a job: on machines that have its image,
// else are getting it, else have most free room.
func (c *Core) placeJob(p *part, j *job, slots []slot, kinds []grouprecord.Kind, use teamUse, kept Res, n int) {
	allowed := make([]bool, len(kinds))
	any := false
	for i, k := range kinds {
		allowed[i] = (j.spec.Spot || !k.Spot) && c.allows(&j.spec, c.types[k.Type], k.Zone)
		any = any || allowed[i]
	}
	limit := c.teams[j.spec.Team].Limit.Minus(kept)
	l := &jobPlacement{core: c, part: p, job: j, use: use, limit: limit, left: n}
	if !any || !l.withinLimit() {
		return
	}
	candidates := c.candidates(p, j, slots, allowed)
	l.zones = c.zonesOf(j)
	for _, candidate := range candidates {
		if !l.fill(candidate) || l.left <= 0 || j.pending() == 0 {
			return
		}
	}
}

// withinLimit tells whether the team may have one more of the job's tasks.
func (l *jobPlacement) withinLimit() bool {
	with := l.use[l.job.spec.Team].Plus(l.job.spec.Need)
	return with.CPU <= l.limit.CPU && with.GPU <= l.limit.GPU
}

// fill starts tasks on a machine as long as there is room; false: the job can
// have no more anywhere.
func (l *jobPlacement) fill(f candidate) bool {
	c, j, m := l.core, l.job, f.s.m
	last := TaskID{}
	for l.left > 0 && j.pending() > 0 && j.spec.Need.Fits(f.s.free) && c.room(m.group, j) {
		if !l.withinLimit() {
			return false
		}
		index := j.nextPending()
		if index < 0 {
			return false
		}
		task := TaskID{Job: j.spec.ID, Index: index}
		// An earlier attempt may still be being cleared away there.
		if !zoneAllowed(&j.spec, l.zones, m.zone) || m.assigns[task] != nil {
			return true
		}
		l.start(f, task, last)
		last = task
	}
	return true
}

// zoneAllowed tells whether a job's rules let one more of its tasks into a zone,
// given its tasks by zone.
func zoneAllowed(spec *JobSpec, zones map[string]int, zone string) bool {
	if spec.SamePlace && !onlyZone(zones, zone) {
		return false
	}
	return !spec.Scatter || zones[zone] < (spec.Tasks+1)/2
}

// start plans the start of a task on a machine; last is the task that was placed
// there just before.
func (l *jobPlacement) start(f candidate, task, last TaskID) {
	c, j, m := l.core, l.job, f.s.m
	a := &assign{task: task, job: j, attempt: l.part.nextAttempt(), need: j.spec.Need, mach: m.id}
	m.addAssign(a)
	m.group.added += listedBytes(j, m, task, last)
	j.setPlaced(task.Index, a)
	l.zones[m.zone]++
	l.use[j.spec.Team] = l.use[j.spec.Team].Plus(j.spec.Need)
	f.s.free = f.s.free.Minus(j.spec.Need)
	if f.Image == placement.ImageAbsent {
		f.s.fetching(j)
	}
	l.left--
	c.writeMachine(m, prioStart)
}

// candidate is a slot that a job's tasks may go to.
type candidate struct {
	placement.Candidate
	s *slot
}

// candidates lists the slots that a job's tasks may go to, the best first.
// allowed tells it by their kinds.
func (c *Core) candidates(p *part, j *job, slots []slot, allowed []bool) []candidate {
	var fit []candidate
	for i := range slots {
		s := &slots[i]
		if !allowed[s.kind] || !j.spec.Need.Fits(s.free) || !c.room(s.m.group, j) || c.avoids(j, s.m) || !c.mayUse(j, s.m) {
			continue
		}
		if image := s.image(j); image != placement.ImageBlocked {
			fit = append(fit, candidate{placement.Candidate{Image: image, Spot: s.m.spot, Free: s.free.CPU}, s})
		}
	}
	spotSuits, ordinarySuits := c.suits(p, j, true), c.suits(p, j, false)
	for i := range fit {
		if fit[i].Suited = ordinarySuits; fit[i].Spot {
			fit[i].Suited = spotSuits
		}
	}
	ordinaryFirst := c.ordinaryWorthFetch(j)
	slices.SortStableFunc(fit, func(a, b candidate) int { return a.Compare(&b.Candidate, ordinaryFirst) })
	return fit
}

// listedBytes is about how much longer a record gets by a task: one that follows
// on the task placed before on the same machine only widens its range.
func listedBytes(j *job, m *machine, t, last TaskID) int {
	continues := last.Job == t.Job && last.Index+1 == t.Index
	jobListed := false
	if !continues {
		for a := range j.on {
			if a.mach == m.id && a.task != t {
				jobListed = true
				break
			}
		}
	}
	return grouprecord.AddedBytes(t.Job, continues, jobListed)
}

// keepMachine picks the machine that is kept free for a starving job: the one
// that it has been kept already, else the one with most room.
func (c *Core) keepMachine(p *part, j *job) *machine {
	var best *machine
	var most Amount
	c.counters.visiting(p.machines)
	for _, m := range p.machines {
		if !c.usable(m) || m.yield || m.group.offer != nil || !c.allowedOn(j, m) {
			continue
		}
		if m.id == j.keeps {
			return m
		}
		if free := c.types[m.typ].Cap.Minus(m.used()).CPU; best == nil || free > most {
			best, most = m, free
		}
	}
	if best != nil {
		j.keeps = best.id
	}
	return best
}

// avoids tells whether a job has failed on a machine and may try others.
func (c *Core) avoids(j *job, m *machine) bool {
	return len(j.failedOn) > 0 && len(j.failedOn) < 3 && j.failedOn[m.id]
}

// zonesOf counts a job's tasks by zone, where its rules ask for that. Those
// proven gone don't count, though their records still have to say so.
func (c *Core) zonesOf(j *job) map[string]int {
	zones := map[string]int{}
	if j.spec.SamePlace || j.spec.Scatter {
		for _, a := range j.where {
			if m := c.machines[a.mach]; m != nil && a.live() {
				zones[m.zone]++
			}
		}
	}
	return zones
}

func onlyZone(zones map[string]int, z string) bool {
	for other, n := range zones {
		if n > 0 && other != z {
			return false
		}
	}
	return true
}

func (c *Core) allowedOn(j *job, m *machine) bool {
	s := &j.spec
	return (s.Spot || !m.spot) && c.allows(s, c.types[m.typ], m.zone) && !c.avoids(j, m)
}
