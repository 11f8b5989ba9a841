package core

import (
	"cmp"
	"slices"

	"stairrelay/internal/placement"
)

// The order in which a part's jobs are served: package placement ranks a job by
// facts that are gathered here.

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
		u := sum[j.spec.Team].Plus(Res{CPU: j.spec.Need.CPU * left, GPU: j.spec.Need.GPU * left})
		sum[j.spec.Team] = u
		g := c.teams[j.spec.Team].Guarantee
		out[j] = u.CPU <= g.CPU && u.GPU <= g.GPU
	}
	return out
}
