package core

import (
	"cmp"
	"slices"
	"time"

	"stairrelay/internal/grouprecord"
	"stairrelay/internal/placement"
)

// classStats is what is learned of a class: estimates are often wrong the
// same way for a whole day.
type classStats struct {
	ratio float64 // run time over estimate, smoothed
	runs  int
}

func (c *Core) class(name string) *classStats {
	s := c.classes[name]
	if s == nil {
		s = &classStats{ratio: 1}
		c.classes[name] = s
	}
	return s
}

func (c *Core) learnRuntime(m *machine, a *assign) {
	// Only whole runs seen from their start tell anything: a resumed task has
	// less to do, and after a take-over the start was not seen.
	if a.runAt == 0 || a.job.spec.RuntimeS <= 0 || a.partial || a.job.restarted[a.task.Index] {
		return
	}
	took := time.Duration(c.now - a.runAt).Seconds()
	j := a.job
	if j.runs >= 2 {
		// Against its own job's other tasks a machine's speed shows best.
		w := max(0.3, 1/float64(m.timed+1))
		m.pace += w * (min(took/(j.runSum/float64(j.runs)), 10) - m.pace)
		m.timed++
	}
	j.runs++
	j.runSum += took
	s := c.class(a.job.spec.Class)
	s.runs++
	w := max(0.05, 1/float64(s.runs+1))
	s.ratio += w * (min(took/a.job.spec.RuntimeS, 5) - s.ratio)
}

// slowPace is how many times slower than its like a machine may be. Machines
// of a type differ by a tenth; faulty ones by factors.
const slowPace = 2.2

// checkPace drains a machine that is much slower than its like, and starts
// anew elsewhere what has already taken far longer than the job's other tasks.
func (c *Core) checkPace(m *machine) {
	if m.draining || m.returning {
		return
	}
	slow := m.timed >= 3 && m.pace > slowPace
	if !slow && !c.anyLate(m) {
		return
	}
	var late []*assign
	for _, a := range m.sorted() {
		if c.takesTooLong(a) {
			late = append(late, a)
		}
	}
	if !slow {
		m.lateHits++
		if m.lateHits < 4 { // some seconds' patience: reports may be late, not the tasks
			return
		}
	}
	c.logf(LogInfo, "machine is slow", "machine", string(m.id), "pace", m.pace, "late_tasks", len(late))
	c.drain(m)
	for _, a := range m.sorted() {
		if a.phase == aSeen && !a.gone && a.job.spec.CheckpntS > 0 {
			late = append(late, a)
		}
	}
	for _, a := range late {
		c.stopTask(m, a, a.job.spec.SaveS*4+1)
	}
}

// takesTooLong tells whether a task has run far longer than its job's others.
func (c *Core) takesTooLong(a *assign) bool {
	if a.phase != aSeen || a.gone || a.runAt == 0 || a.state != Running || a.job.runs < 3 || a.job.restarted[a.task.Index] {
		return false
	}
	like := a.job.runSum / float64(a.job.runs)
	return time.Duration(c.now-a.runAt).Seconds() > 2.5*like+5
}

// anyLate tells whether any task of a machine takes too long.
func (c *Core) anyLate(m *machine) bool {
	for _, a := range m.assigns {
		if c.takesTooLong(a) {
			return true
		}
	}
	return false
}

// expectedRun is a job's run time per task as far as is known.
func (c *Core) expectedRun(j *job) float64 {
	return j.spec.RuntimeS * c.class(j.spec.Class).ratio
}

func (c *Core) expectedRest(a *assign) float64 {
	run := c.expectedRun(a.job)
	if a.runAt == 0 {
		return run + 2
	}
	return max(run-time.Duration(c.now-a.runAt).Seconds(), run*0.1)
}

// latestStart is when a job's waiting tasks must start to meet the first of
// its aims that can still be met, as milliseconds of the time of day: its own
// deadline, or what the objectives say of its class.
func (c *Core) latestStart(j *job) float64 {
	at, run := float64(j.since), c.expectedRun(j)*1000
	best, known := float64(placement.Never), false
	consider := func(start float64) {
		known = true
		if start >= float64(c.wall)-500 {
			best = min(best, start)
		}
	}
	for _, o := range c.cfg.Objectives {
		if o.Class != j.spec.Class {
			continue
		}
		switch o.Kind {
		case "deadline":
			if j.spec.DeadlineS > 0 {
				consider(float64(j.spec.Submitted) + j.spec.DeadlineS*1000*max(o.Times, 0.1) - run)
			}
		case "finished":
			consider(at + o.WithinS*1000 - run)
		case "wait":
			consider(at + o.WithinS*1000)
		}
	}
	if k := c.jobs.known[j.spec.ID]; k != nil && k.dueBy > 0 && k.dueBy != due(&j.spec) { // of a job that needs it
		consider(k.dueBy - run)
	}
	if !known {
		consider(at + max(j.spec.DeadlineS, 600)*1000 - run)
	}
	return best
}

// horizon is the longest time, in milliseconds, that the aims give a job; it
// bounds how far waiting jobs can be pushed back.
func (c *Core) horizon(j *job) float64 {
	h := 0.0
	for _, o := range c.cfg.Objectives {
		if o.Class != j.spec.Class {
			continue
		}
		h = max(h, o.WithinS*1000)
		if o.Kind == "deadline" {
			h = max(h, j.spec.DeadlineS*1000*max(o.Times, 1))
		}
	}
	if h == 0 {
		h = max(j.spec.DeadlineS, 600) * 1000
	}
	return h
}

// unbegun tells whether a job waits for its first task for so long already that
// this goes before everything else: else small and urgent work that keeps
// coming would starve the large.
func (c *Core) unbegun(j *job) bool {
	return j.firstRun == 0 && j.done == 0 && j.placed == 0 &&
		float64(c.wall)-float64(j.since) > float64(c.cfg.Tuning.BeginWithin/milli)/2
}

// spared tells whether a job's only task must not give way to others: it began
// because the job had waited too long, and stopped at once it would put the job
// back to waiting as one that has begun (seed 1362: 110 s more).
func (c *Core) spared(j *job) bool {
	return j.done == 0 && j.placed == 1 &&
		float64(c.wall)-float64(j.since) > float64(c.cfg.Tuning.BeginWithin/milli)/2
}

// starving tells whether a job has waited too long without anything of it
// running: its first task, or, when it is older than twice its horizon, its
// next.
func (c *Core) starving(j *job) bool {
	return c.unbegun(j) || j.placed == 0 && float64(c.wall) > float64(j.since)+2*c.horizon(j)
}

// queued lists a part's jobs with waiting tasks in the order in which they are
// served, and those that are within their team's guarantee: urgent ones first,
// then by their latest start, so that less important work gets its turn before
// its time is up. What is late for good waits behind what can still be in
// time, but not for ever: after four times its horizon it goes before newer urgent
// work, so that the large and the less important are served even if small and
// urgent work keeps coming.
func (c *Core) queued(p *part) ([]*job, map[*job]bool) {
	if p.order == nil || c.now >= p.orderAt+orderPause {
		c.rankJobs(p)
	}
	out := make([]*job, 0, len(p.order))
	for _, j := range p.order {
		if c.waits(j) {
			out = append(out, j)
		}
	}
	return out, p.owed
}

// orderPause is how long the order of a part's jobs stands unless jobs come or
// go: it hangs on times of seconds and more, and hundreds of jobs are ranked.
const orderPause = 200 * milli

// waits tells whether a job has tasks that could be placed now.
func (c *Core) waits(j *job) bool {
	return j.active() && !j.waiting && j.loading == 0 && j.pending() > 0 && c.now >= j.holdUntil
}

// rankJobs works out the order in which a part's jobs are served.
func (c *Core) rankJobs(p *part) {
	type ranked struct {
		j    *job
		rank placement.JobRank
	}
	room := Amount(1_000_000)
	c.counters.visiting(p.machines)
	for _, m := range p.machines {
		room += c.types[m.typ].Cap.CPU
	}
	p.owed = c.withinGuarantee(p)
	p.avoidSpot = slices.ContainsFunc(p.jobs, func(j *job) bool { return j.active() && !j.waiting && c.prefersOrdinary(j) })
	queue := make([]ranked, 0, len(p.jobs))
	for _, j := range p.jobs {
		// What is held back for a moment may be let go before the next ranking.
		if !j.active() || j.waiting || j.pending() == 0 && j.placed == 0 {
			continue
		}
		facts := c.rankFacts(j, p.owed[j], room)
		if !j.judged && c.waits(j) {
			j.judged, j.owedFirst = true, facts.Owed
		}
		queue = append(queue, ranked{j, placement.RankJob(facts, c.cfg.Tuning.SmallFirst)})
	}
	slices.SortStableFunc(queue, func(a, b ranked) int { return a.rank.Compare(b.rank) })
	p.order, p.orderAt = make([]*job, len(queue)), c.now
	for i := range queue {
		p.order[i] = queue[i].j
	}
}

// rankFacts gathers what a job's rank follows from. room is the part's CPUs.
func (c *Core) rankFacts(j *job, owed bool, room Amount) placement.JobFacts {
	return placement.JobFacts{
		Priority:    j.prio,
		Owed:        owed,
		Now:         float64(c.wall),
		Since:       float64(j.since),
		LatestStart: c.latestStart(j),
		Horizon:     c.horizon(j),
		Alone:       float64(j.pending()) * float64(j.spec.Need.CPU) / float64(room) * c.expectedRun(j),
	}
}

// withinGuarantee tells which jobs fit into their team's guarantee along with
// the team's earlier unfinished ones: they need not wait for other teams.
func (c *Core) withinGuarantee(p *part) map[*job]bool {
	var js []*job
	for _, j := range p.jobs {
		if j.active() && !j.waiting {
			js = append(js, j)
		}
	}
	slices.SortStableFunc(js, func(a, b *job) int { return cmp.Compare(a.since, b.since) })
	sum := map[string]Res{}
	out := make(map[*job]bool, len(js))
	for _, j := range js {
		left := Amount(j.spec.Tasks - j.done)
		u := sum[j.spec.Team].plus(Res{CPU: j.spec.Need.CPU * left, GPU: j.spec.Need.GPU * left})
		sum[j.spec.Team] = u
		g := c.teams[j.spec.Team].Guarantee
		out[j] = u.CPU <= g.CPU && u.GPU <= g.GPU
	}
	return out
}

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
		s := slot{m: m, free: t.Cap.minus(m.used()), size: t.Cap.CPU, kind: -1}
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
		kept[j.spec.Team] = kept[j.spec.Team].plus(j.spec.Need)
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

// placeJob starts up to n tasks of a job: on machines that have its image,
// else are getting it, else have most free room.
func (c *Core) placeJob(p *part, j *job, slots []slot, kinds []grouprecord.Kind, use teamUse, kept Res, n int) {
	allowed := make([]bool, len(kinds))
	any := false
	for i, k := range kinds {
		allowed[i] = (j.spec.Spot || !k.Spot) && c.allows(&j.spec, c.types[k.Type], k.Zone)
		any = any || allowed[i]
	}
	limit := c.teams[j.spec.Team].Limit.minus(kept)
	if u := use[j.spec.Team].plus(j.spec.Need); !any || u.CPU > limit.CPU || u.GPU > limit.GPU {
		return
	}
	fit := c.candidates(p, j, slots, allowed)
	zones := c.zonesOf(j)
	for _, f := range fit {
		m, last := f.s.m, TaskID{}
		for n > 0 && j.pending() > 0 && j.spec.Need.fits(f.s.free) && c.room(m.group, j) {
			u := use[j.spec.Team].plus(j.spec.Need)
			if u.CPU > limit.CPU || u.GPU > limit.GPU {
				return
			}
			i := j.nextPending()
			if i < 0 {
				return
			}
			if j.spec.SamePlace && !onlyZone(zones, m.zone) || j.spec.Scatter && zones[m.zone] >= (j.spec.Tasks+1)/2 {
				break
			}
			task := TaskID{Job: j.spec.ID, Index: i}
			if m.assigns[task] != nil {
				break // an earlier attempt is still being cleared away there
			}
			a := &assign{task: task, job: j, attempt: p.nextAttempt(), need: j.spec.Need, mach: m.id}
			m.addAssign(a)
			m.group.added += listedBytes(j, m, task, last)
			last = task
			j.setPlaced(i, a)
			zones[m.zone]++
			use[j.spec.Team] = u
			f.s.free = f.s.free.minus(j.spec.Need)
			if f.Image == placement.ImageAbsent {
				f.s.fetching(j)
			}
			n--
			c.writeMachine(m, prioStart)
		}
		if n <= 0 || j.pending() == 0 {
			return
		}
	}
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
		if !allowed[s.kind] || !j.spec.Need.fits(s.free) || !c.room(s.m.group, j) || c.avoids(j, s.m) || !c.mayUse(j, s.m) {
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

// expectedSpotLoss is what a job's tasks must expect to lose on spot machines, in seconds:
// those that can't save lose half a run in the mean when theirs is taken. That
// counts four times, as a job of many tasks waits for its unluckiest.
func (c *Core) expectedSpotLoss(j *job) float64 {
	if !j.spec.Spot || j.spec.CheckpntS > 0 {
		return 0
	}
	run := c.expectedRun(j)
	return 4 * c.spotLosses.rate() * run * run / 2
}

// spotLossLimit is the expected loss, in seconds, from which a job should rather have
// ordinary machines, however much time its aims give it.
const spotLossLimit = 2

// likelyTasksLost is how many of its tasks a job must expect to lose on spot
// machines for its deadline to be at risk: a few small tasks are hardly ever hit.
const likelyTasksLost = 0.1

// prefersOrdinary tells whether a job should rather have ordinary machines: much loss
// is to be expected, or it is likely to lose a task and its first aim gives it so
// little time that a task begun anew would miss it. For others the choice would
// only scatter their tasks over machines with little room, each of which has to
// fetch the image.
func (c *Core) prefersOrdinary(j *job) bool {
	loss := c.expectedSpotLoss(j)
	if loss == 0 || loss > spotLossLimit {
		return loss > 0
	}
	if c.spotLosses.rate()*c.expectedRun(j)*float64(j.spec.Tasks) < likelyTasksLost {
		return false
	}
	aim := 0.0
	for _, o := range c.cfg.Objectives {
		within := o.WithinS
		if o.Kind == "deadline" {
			within = j.spec.DeadlineS * max(o.Times, 0.1)
		}
		if o.Class == j.spec.Class && o.Kind != "wait" && within > 0 && (aim == 0 || within < aim) {
			aim = within
		}
	}
	return aim > 0 && aim < 3*c.expectedRun(j)
}

// ordinaryWorthFetch tells whether so much loss is to be expected that an ordinary
// machine is worth fetching the image anew.
func (c *Core) ordinaryWorthFetch(j *job) bool {
	fetch := 0.0
	for _, t := range c.types {
		if t.FetchGBs > 0 {
			fetch = max(fetch, j.spec.ImageGB/t.FetchGBs)
		}
	}
	return c.expectedSpotLoss(j) > max(fetch, spotLossLimit)
}

// mayUse tells whether a job may go to a machine that is to run empty because
// it is dear: only one to which the cheaper ones are a risk.
func (c *Core) mayUse(j *job, m *machine) bool {
	return !m.retire || !m.spot && c.ordinaryWorthFetch(j)
}

// suits tells whether a job should have a spot machine, or an ordinary one,
// rather than another that is equal otherwise: a job that spares its time should
// have an ordinary one; where there are such, what saves makes room for them and
// goes to spot machines. Else neither matters.
func (c *Core) suits(p *part, j *job, spot bool) bool {
	if j.spec.CheckpntS > 0 {
		return spot || !p.avoidSpot
	}
	return !spot || !c.prefersOrdinary(j)
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
		if free := c.types[m.typ].Cap.minus(m.used()).CPU; best == nil || free > most {
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
