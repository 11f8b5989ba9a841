package controller

import (
	"cmp"
	"slices"

	"stairrelay/internal/cluster"

	"stairrelay/internal/scheduling"
)

// The order in which a part's jobs are served: package placement ranks a job by
// facts that are gathered here.

// latestStart is when a job's waiting tasks must start to meet the first of
// its aims that can still be met, as milliseconds of the time of day: its own
// deadline, or what the objectives say of its class.
func (c *Controller) latestStart(j *job) float64 {
	at, run := float64(j.readySince), c.expectedRunSeconds(j)*1000
	best, known := float64(scheduling.Never), false
	consider := func(start float64) {
		known = true
		if start >= float64(c.loop.WallTime())-500 {
			best = min(best, start)
		}
	}
	for _, o := range c.config.SLOs {
		if o.Class != j.spec.Class {
			continue
		}
		switch o.Kind {
		case "deadline":
			if j.spec.DeadlineSeconds > 0 {
				consider(float64(j.spec.SubmittedAt) + j.spec.DeadlineSeconds*1000*max(o.DeadlineFactor, 0.1) - run)
			}
		case "finished":
			consider(at + o.WithinSeconds*1000 - run)
		case "wait":
			consider(at + o.WithinSeconds*1000)
		}
	}
	if k := c.jobs.known[j.spec.ID]; k != nil && k.effectiveDeadline > 0 && k.effectiveDeadline != jobDeadline(&j.spec) { // of a job that needs it
		consider(k.effectiveDeadline - run)
	}
	if !known {
		consider(at + max(j.spec.DeadlineSeconds, 600)*1000 - run)
	}
	return best
}

// sloHorizon is the longest time, in milliseconds, that the aims give a job; it
// bounds how far waiting jobs can be pushed back.
func (c *Controller) sloHorizon(j *job) float64 {
	h := 0.0
	for _, o := range c.config.SLOs {
		if o.Class != j.spec.Class {
			continue
		}
		h = max(h, o.WithinSeconds*1000)
		if o.Kind == "deadline" {
			h = max(h, j.spec.DeadlineSeconds*1000*max(o.DeadlineFactor, 1))
		}
	}
	if h == 0 {
		h = max(j.spec.DeadlineSeconds, 600) * 1000
	}
	return h
}

// isFirstStartOverdue tells whether a job waits for its first task for so long already that
// this goes before everything else: else small and urgent work that keeps
// coming would starve the large.
func (c *Controller) isFirstStartOverdue(j *job) bool {
	return j.firstRunAt == 0 && j.completedCount == 0 && j.assignedCount == 0 &&
		float64(c.loop.WallTime())-float64(j.readySince) > float64(c.config.Tuning.FirstTaskTarget/millisecond)/2
}

// isPreemptionExempt tells whether a job's only task must not give way to others: it began
// because the job had waited too long, and stopped at once it would put the job
// back to waiting as one that has begun (seed 1362: 110 s more).
func (c *Controller) isPreemptionExempt(j *job) bool {
	return j.completedCount == 0 && j.assignedCount == 1 &&
		float64(c.loop.WallTime())-float64(j.readySince) > float64(c.config.Tuning.FirstTaskTarget/millisecond)/2
}

// isStarving tells whether a job has waited too long without anything of it
// running: its first task, or, when it is older than twice its horizon, its
// next.
func (c *Controller) isStarving(j *job) bool {
	return c.isFirstStartOverdue(j) || j.assignedCount == 0 && float64(c.loop.WallTime()) > float64(j.readySince)+2*c.sloHorizon(j)
}

// queuedJobs lists a part's jobs with waiting tasks in the order in which they are
// served, and those that are within their team's guarantee: urgent ones first,
// then by their latest start, so that less important work gets its turn before
// its time is up. What is late for good waits behind what can still be in
// time, but not for ever: after four times its horizon it goes before newer urgent
// work, so that the large and the less important are served even if small and
// urgent work keeps coming.
func (c *Controller) queuedJobs(p *shard) ([]*job, map[*job]bool) {
	if p.queueOrder == nil || c.loop.Now() >= p.queueOrderAt+queueOrderInterval {
		c.rankJobs(p)
	}
	out := make([]*job, 0, len(p.queueOrder))
	for _, j := range p.queueOrder {
		if c.hasSchedulableTasks(j) {
			out = append(out, j)
		}
	}
	return out, p.guaranteedJobs
}

// queueOrderInterval is how long the order of a part's jobs stands unless jobs come or
// go: it hangs on times of seconds and more, and hundreds of jobs are ranked.
const queueOrderInterval = 200 * millisecond

// hasSchedulableTasks tells whether a job has tasks that could be placed now.
func (c *Controller) hasSchedulableTasks(j *job) bool {
	return j.isActive() && !j.blocked && j.chunksLoading == 0 && j.pendingCount() > 0 && c.loop.Now() >= j.backoffUntil
}

// rankJobs works out the order in which a part's jobs are served.
func (c *Controller) rankJobs(p *shard) {
	type ranked struct {
		j    *job
		rank scheduling.JobRank
	}
	room := cluster.Amount(1_000_000)
	c.counters.addMachineScans(p.machines)
	for _, m := range p.machines {
		room += c.machineTypes[m.machineType].Capacity.CPU
	}
	p.guaranteedJobs = c.jobsWithinGuarantee(p)
	p.avoidSpot = slices.ContainsFunc(p.jobs, func(j *job) bool { return j.isActive() && !j.blocked && c.prefersOnDemand(j) })
	queue := make([]ranked, 0, len(p.jobs))
	for _, j := range p.jobs {
		// What is held back for a moment may be let go before the next ranking.
		if !j.isActive() || j.blocked || j.pendingCount() == 0 && j.assignedCount == 0 {
			continue
		}
		facts := c.rankFacts(j, p.guaranteedJobs[j], room)
		if !j.guaranteeChecked && c.hasSchedulableTasks(j) {
			j.guaranteeChecked, j.initiallyGuaranteed = true, facts.WithinGuarantee
		}
		queue = append(queue, ranked{j, scheduling.RankJob(facts, c.config.Tuning.ShortJobWeight)})
	}
	slices.SortStableFunc(queue, func(a, b ranked) int { return a.rank.Compare(b.rank) })
	p.queueOrder, p.queueOrderAt = make([]*job, len(queue)), c.loop.Now()
	for i := range queue {
		p.queueOrder[i] = queue[i].j
	}
}

// rankFacts gathers what a job's rank follows from. room is the part's CPUs.
func (c *Controller) rankFacts(j *job, owed bool, room cluster.Amount) scheduling.JobFacts {
	return scheduling.JobFacts{
		Priority:         j.effectivePriority,
		WithinGuarantee:  owed,
		Now:              float64(c.loop.WallTime()),
		ReadySince:       float64(j.readySince),
		LatestStart:      c.latestStart(j),
		Horizon:          c.sloHorizon(j),
		ExclusiveSeconds: float64(j.pendingCount()) * float64(j.spec.ResourceRequest.CPU) / float64(room) * c.expectedRunSeconds(j),
	}
}

// jobsWithinGuarantee tells which jobs fit into their team's guarantee along with
// the team's earlier unfinished ones: they need not wait for other teams.
func (c *Controller) jobsWithinGuarantee(p *shard) map[*job]bool {
	var js []*job
	for _, j := range p.jobs {
		if j.isActive() && !j.blocked {
			js = append(js, j)
		}
	}
	slices.SortStableFunc(js, func(a, b *job) int { return cmp.Compare(a.readySince, b.readySince) })
	sum := map[string]cluster.Resources{}
	out := make(map[*job]bool, len(js))
	for _, j := range js {
		left := cluster.Amount(j.spec.Tasks - j.completedCount)
		u := sum[j.spec.Team].Plus(cluster.Resources{CPU: j.spec.ResourceRequest.CPU * left, GPU: j.spec.ResourceRequest.GPU * left})
		sum[j.spec.Team] = u
		g := c.teams[j.spec.Team].GuaranteedQuota
		out[j] = u.CPU <= g.CPU && u.GPU <= g.GPU
	}
	return out
}
