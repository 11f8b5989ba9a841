package core

import (
	"sort"
	"time"
)

// classStats is what is learned of a class: estimates are often wrong the
// same way for a whole day.
type classStats struct {
	ratio float64 // run time over estimate, smoothed
	n     int
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
	if a.runAt == 0 || a.j.spec.RuntimeS <= 0 || a.partial || a.j.restarted[a.task.Index] {
		return
	}
	took := time.Duration(c.now - a.runAt).Seconds()
	j := a.j
	if j.runs >= 2 {
		// Against its own job's other tasks a machine's speed shows best.
		w := max(0.3, 1/float64(m.timed+1))
		m.pace += w * (min(took/(j.runSum/float64(j.runs)), 10) - m.pace)
		m.timed++
	}
	j.runs++
	j.runSum += took
	s := c.class(a.j.spec.Class)
	s.n++
	w := max(0.05, 1/float64(s.n+1))
	s.ratio += w * (min(took/a.j.spec.RuntimeS, 5) - s.ratio)
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
	var late []*assign
	for _, a := range m.sorted() {
		if a.phase != aSeen || a.gone || a.runAt == 0 || a.state != Running || a.j.runs < 3 || a.j.restarted[a.task.Index] {
			continue
		}
		if like := a.j.runSum / float64(a.j.runs); time.Duration(c.now-a.runAt).Seconds() > 2.5*like+5 {
			late = append(late, a)
		}
	}
	if !slow && len(late) == 0 {
		return
	}
	if !slow {
		m.lateHits++
		if m.lateHits < 4 { // some seconds' patience: reports may be late, not the tasks
			return
		}
	}
	c.logf("info", "machine is slow", "machine", string(m.id), "pace", m.pace, "late_tasks", len(late))
	c.drain(m)
	for _, a := range m.sorted() {
		if a.phase == aSeen && !a.gone && a.j.spec.CheckpntS > 0 {
			late = append(late, a)
		}
	}
	for _, a := range late {
		c.stopTask(m, a, a.j.spec.SaveS*4+1)
	}
}

// expectedRun is a job's run time per task as far as is known.
func (c *Core) expectedRun(j *job) float64 {
	return j.spec.RuntimeS * c.class(j.spec.Class).ratio
}

func (c *Core) expectedRest(a *assign) float64 {
	run := c.expectedRun(a.j)
	if a.runAt == 0 {
		return run + 2
	}
	return max(run-time.Duration(c.now-a.runAt).Seconds(), run*0.1)
}

// never is the latest start of a job that can't meet any aim any more.
const never = 1e18

// latestStart is when a job's waiting tasks must start to meet the first of
// its aims that can still be met, as milliseconds of the time of day: its own
// deadline, or what the objectives say of its class.
func (c *Core) latestStart(j *job) float64 {
	at, run := float64(j.spec.Submitted), c.expectedRun(j)*1000
	best, known := float64(never), false
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
				consider(at + j.spec.DeadlineS*1000*max(o.Times, 0.1) - run)
			}
		case "finished":
			consider(at + o.WithinS*1000 - run)
		case "wait":
			consider(at + o.WithinS*1000)
		}
	}
	if !known {
		consider(at + max(j.spec.DeadlineS, 600)*1000 - run)
	}
	return best
}

// queued lists a part's jobs with waiting tasks in the order in which they are
// served: urgent ones first, then by their latest start, so that less
// important work gets its turn before its time is up. What is late for good
// waits behind what can still be in time.
func (c *Core) queued(p *part) []*job {
	type ranked struct {
		j     *job
		late  bool
		owed  bool // within its team's guarantee, as are its earlier unfinished jobs
		tier  int
		start float64
	}
	var q []ranked
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		if j.part != p.id || !j.active() || j.loading > 0 || j.pending() == 0 || c.now < j.holdUntil {
			continue
		}
		r := ranked{j: j, start: c.latestStart(j)}
		if r.late = r.start == never; r.late {
			r.start = float64(j.spec.Submitted)
		}
		if !r.late {
			r.start += c.cfg.Tuning.SmallFirst * 1000 * float64(j.pending()) * float64(j.spec.Need.CPU) / 1e6 * c.expectedRun(j)
		}
		if j.spec.Priority >= Urgent {
			r.tier = int(j.spec.Priority)
		}
		q = append(q, r)
	}
	owed := c.withinGuarantee(p)
	for i := range q {
		q[i].owed = owed[q[i].j]
	}
	sort.SliceStable(q, func(a, b int) bool {
		switch x, y := q[a], q[b]; {
		case x.tier != y.tier:
			return x.tier > y.tier
		case x.owed != y.owed:
			return x.owed
		case x.late != y.late:
			return y.late
		default:
			return x.start < y.start
		}
	})
	out := make([]*job, len(q))
	for i := range q {
		out[i] = q[i].j
	}
	return out
}

// withinGuarantee tells which jobs fit into their team's guarantee along with
// the team's earlier unfinished ones: they need not wait for other teams.
func (c *Core) withinGuarantee(p *part) map[*job]bool {
	var js []*job
	for _, id := range sortedKeys(c.jobs) {
		if j := c.jobs[id]; j.part == p.id && j.active() {
			js = append(js, j)
		}
	}
	sort.SliceStable(js, func(a, b int) bool { return js[a].spec.Submitted < js[b].spec.Submitted })
	sum := map[string]Res{}
	out := map[*job]bool{}
	for _, j := range js {
		left := Amount(j.spec.Tasks - j.done)
		u := sum[j.spec.Team].plus(Res{CPU: j.spec.Need.CPU * left, GPU: j.spec.Need.GPU * left})
		sum[j.spec.Team] = u
		g := c.teams[j.spec.Team].Guarantee
		out[j] = u.CPU <= g.CPU && u.GPU <= g.GPU
	}
	return out
}

// teamUse sums what each team's tasks take, wherever they are or may be.
func (c *Core) teamUse(p *part) map[string]Res {
	use := map[string]Res{}
	for _, m := range c.machines {
		if m.part != p.id {
			continue
		}
		for _, a := range m.assigns {
			if a.live() {
				use[a.j.spec.Team] = use[a.j.spec.Team].plus(a.need)
			}
		}
	}
	return use
}

// usable tells whether new starts may go to a machine.
func (c *Core) usable(m *machine) bool {
	return m.acked && !m.booting && !m.draining && !m.returning && !m.unsure && !m.bumping && c.now >= m.notBefore &&
		c.now-m.heard < 2*c.cfg.ReportEvery+second
}

// maxTasks bounds a machine's record under the store's value limit.
func (c *Core) maxTasks() int { return max(4, (c.cfg.ValueBytes-400)/32) }

type slot struct {
	m    *machine
	free Res
	n    int
}

// place starts waiting tasks of every part held here.
func (c *Core) place() {
	for _, p := range c.parts {
		if p.held && p.ready {
			c.placePart(p)
		}
	}
}

func (c *Core) slots(p *part) []*slot {
	var l []*slot
	for _, id := range sortedKeys(c.machines) {
		m := c.machines[id]
		if m.part != p.id || !c.usable(m) || m.yield {
			continue
		}
		t, ok := c.types[m.typ]
		if !ok {
			continue
		}
		l = append(l, &slot{m, t.Cap.minus(m.used()), len(m.assigns)})
	}
	return l
}

func (c *Core) placePart(p *part) {
	jobs := c.queued(p)
	if len(jobs) == 0 || c.storeLost(second) {
		return
	}
	slots := c.slots(p)
	use := c.teamUse(p)
	for _, j := range jobs {
		c.placeJob(p, j, slots, use)
	}
	c.preempt(p, jobs, use)
}

func (c *Core) placeJob(p *part, j *job, slots []*slot, use map[string]Res) {
	limit := c.teams[j.spec.Team].Limit
	var fit []*slot
	for _, s := range slots {
		if j.spec.Need.fits(s.free) && c.allowedOn(j, s.m) {
			fit = append(fit, s)
		}
	}
	zones := c.zonesOf(j)
	for j.pending() > 0 && len(fit) > 0 {
		u := use[j.spec.Team].plus(j.spec.Need)
		if u.CPU > limit.CPU || u.GPU > limit.GPU {
			return
		}
		best := c.bestSlot(j, fit, zones)
		if best == nil {
			return
		}
		i := j.nextPending()
		if i < 0 {
			return
		}
		task := TaskID{j.spec.ID, i}
		a := &assign{task: task, j: j, attempt: p.nextAttempt(), need: j.spec.Need, mach: best.m.id}
		best.m.assigns[task] = a
		j.setPlaced(i, a)
		zones[best.m.zone]++
		use[j.spec.Team] = u
		best.free = best.free.minus(j.spec.Need)
		best.n++
		c.writeMachine(best.m, prioStart)
		keep := fit[:0]
		for _, s := range fit {
			if j.spec.Need.fits(s.free) && s.n < c.maxTasks() {
				keep = append(keep, s)
			}
		}
		fit = keep
	}
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
	return (s.Spot || !m.spot) && c.allows(s, c.types[m.typ], m.zone) && !(j.failedOn[m.id] && len(j.failedOn) < 3)
}

// bestSlot: a machine that has the image, else one that is getting it, else
// the one with most free room.
func (c *Core) bestSlot(j *job, fit []*slot, zones map[string]int) *slot {
	var best *slot
	bestRank := -1
	for _, s := range fit {
		z := s.m.zone
		if j.spec.SamePlace && !onlyZone(zones, z) {
			continue
		}
		if j.spec.Scatter && zones[z] >= (j.spec.Tasks+1)/2 {
			continue
		}
		if _, old := s.m.assigns[TaskID{j.spec.ID, j.nextPending()}]; old {
			continue // an earlier attempt is still being cleared away there
		}
		rank := 0
		if s.m.hasImage(j.spec.Image) {
			rank = 2
		} else {
			other := false
			for _, a := range s.m.assigns {
				if !a.live() || a.runAt > 0 {
					continue
				}
				if a.j.spec.Image == j.spec.Image {
					rank = 1
				} else if !s.m.hasImage(a.j.spec.Image) && a.j.spec.Priority >= min(j.spec.Priority, Urgent) {
					other = true
				}
			}
			// Two fetches share the machine's rate: one after the other lets
			// the first start sooner and the second no later.
			if other && rank == 0 {
				continue
			}
		}
		if best == nil || rank > bestRank || rank == bestRank && s.free.CPU > best.free.CPU {
			best, bestRank = s, rank
		}
	}
	return best
}
