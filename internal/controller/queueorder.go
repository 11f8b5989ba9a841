package controller

import (
	"cmp"
	"slices"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"

	"stairrelay/internal/scheduling"
)

// The order in which a part's jobs are served: package placement ranks a job by
// facts that are gathered here.

// latestStart is when a job's waiting tasks must start to meet the first of
// its aims that can still be met, as milliseconds of the time of day: its own
// deadline, or what the objectives say of its class.
func (c *Controller) latestStart(j *state.Job) float64 {
	at, run := float64(j.ReadySince), c.expectedRunSeconds(j)*1000
	best, known := float64(scheduling.Never), false
	consider := func(start float64) {
		known = true
		if start >= float64(c.loop.WallTime())-500 {
			best = min(best, start)
		}
	}
	for _, o := range c.config.SLOs {
		if o.Class != j.Spec.Class {
			continue
		}
		switch o.Kind {
		case "deadline":
			if j.Spec.DeadlineSeconds > 0 {
				consider(float64(j.Spec.SubmittedAt) + j.Spec.DeadlineSeconds*1000*max(o.DeadlineFactor, 0.1) - run)
			}
		case "finished":
			consider(at + o.WithinSeconds*1000 - run)
		case "wait":
			consider(at + o.WithinSeconds*1000)
		}
	}
	if k := c.state.Jobs.Known[j.Spec.ID]; k != nil && k.EffectiveDeadline > 0 && k.EffectiveDeadline != j.Spec.Deadline() { // of a job that needs it
		consider(k.EffectiveDeadline - run)
	}
	if !known {
		consider(at + max(j.Spec.DeadlineSeconds, 600)*1000 - run)
	}
	return best
}

// sloHorizon is the longest time, in milliseconds, that the aims give a job; it
// bounds how far waiting jobs can be pushed back.
func (c *Controller) sloHorizon(j *state.Job) float64 {
	h := 0.0
	for _, o := range c.config.SLOs {
		if o.Class != j.Spec.Class {
			continue
		}
		h = max(h, o.WithinSeconds*1000)
		if o.Kind == "deadline" {
			h = max(h, j.Spec.DeadlineSeconds*1000*max(o.DeadlineFactor, 1))
		}
	}
	if h == 0 {
		h = max(j.Spec.DeadlineSeconds, 600) * 1000
	}
	return h
}

// isFirstStartOverdue tells whether a job waits for its first task for so long already that
// this goes before everything else: else small and urgent work that keeps
// coming would starve the large.
func (c *Controller) isFirstStartOverdue(j *state.Job) bool {
	return j.FirstRunAt == 0 && j.CompletedCount == 0 && j.AssignedCount == 0 &&
		float64(c.loop.WallTime())-float64(j.ReadySince) > float64(c.config.Tuning.FirstTaskTarget/millisecond)/2
}

// isPreemptionExempt tells whether a job's only task must not give way to others: it began
// because the job had waited too long, and stopped at once it would put the job
// back to waiting as one that has begun (seed 1362: 110 s more).
func (c *Controller) isPreemptionExempt(j *state.Job) bool {
	return j.CompletedCount == 0 && j.AssignedCount == 1 &&
		float64(c.loop.WallTime())-float64(j.ReadySince) > float64(c.config.Tuning.FirstTaskTarget/millisecond)/2
}

// isStarving tells whether a job has waited too long without anything of it
// running: its first task, or, when it is older than twice its horizon, its
// next.
func (c *Controller) isStarving(j *state.Job) bool {
	return c.isFirstStartOverdue(j) || j.AssignedCount == 0 && float64(c.loop.WallTime()) > float64(j.ReadySince)+2*c.sloHorizon(j)
}

// queuedJobs lists a part's jobs with waiting tasks in the order in which they are
// served, and those that are within their team's guarantee: urgent ones first,
// then by their latest start, so that less important work gets its turn before
// its time is up. What is late for good waits behind what can still be in
// time, but not for ever: after four times its horizon it goes before newer urgent
// work, so that the large and the less important are served even if small and
// urgent work keeps coming.
func (c *Controller) queuedJobs(p *state.Shard) ([]*state.Job, map[*state.Job]bool) {
	if p.QueueOrder == nil || c.loop.Now() >= p.QueueOrderAt+queueOrderInterval {
		c.rankJobs(p)
	}
	out := make([]*state.Job, 0, len(p.QueueOrder))
	for _, j := range p.QueueOrder {
		if c.hasSchedulableTasks(j) {
			out = append(out, j)
		}
	}
	return out, p.GuaranteedJobs
}

// queueOrderInterval is how long the order of a part's jobs stands unless jobs come or
// go: it hangs on times of seconds and more, and hundreds of jobs are ranked.
const queueOrderInterval = 200 * millisecond

// hasSchedulableTasks tells whether a job has tasks that could be placed now.
func (c *Controller) hasSchedulableTasks(j *state.Job) bool {
	return j.IsActive() && !j.Blocked && j.ChunksLoading == 0 && j.PendingCount() > 0 && c.loop.Now() >= j.BackoffUntil
}

// rankJobs works out the order in which a part's jobs are served.
func (c *Controller) rankJobs(p *state.Shard) {
	type ranked struct {
		j    *state.Job
		rank scheduling.JobRank
	}
	room := cluster.Amount(1_000_000)
	c.counters.AddMachineScans(p.Machines)
	for _, m := range p.Machines {
		room += c.state.MachineTypes[m.MachineType].Capacity.CPU
	}
	p.GuaranteedJobs = c.jobsWithinGuarantee(p)
	p.AvoidSpot = slices.ContainsFunc(p.Jobs, func(j *state.Job) bool { return j.IsActive() && !j.Blocked && c.prefersOnDemand(j) })
	queue := make([]ranked, 0, len(p.Jobs))
	for _, j := range p.Jobs {
		// What is held back for a moment may be let go before the next ranking.
		if !j.IsActive() || j.Blocked || j.PendingCount() == 0 && j.AssignedCount == 0 {
			continue
		}
		facts := c.rankFacts(j, p.GuaranteedJobs[j], room)
		if !j.GuaranteeChecked && c.hasSchedulableTasks(j) {
			j.GuaranteeChecked, j.InitiallyGuaranteed = true, facts.WithinGuarantee
		}
		queue = append(queue, ranked{j, scheduling.RankJob(facts, c.config.Tuning.ShortJobWeight)})
	}
	slices.SortStableFunc(queue, func(a, b ranked) int { return a.rank.Compare(b.rank) })
	p.QueueOrder, p.QueueOrderAt = make([]*state.Job, len(queue)), c.loop.Now()
	for i := range queue {
		p.QueueOrder[i] = queue[i].j
	}
}

// rankFacts gathers what a job's rank follows from. room is the part's CPUs.
func (c *Controller) rankFacts(j *state.Job, owed bool, room cluster.Amount) scheduling.JobFacts {
	return scheduling.JobFacts{
		Priority:         j.EffectivePriority,
		WithinGuarantee:  owed,
		Now:              float64(c.loop.WallTime()),
		ReadySince:       float64(j.ReadySince),
		LatestStart:      c.latestStart(j),
		Horizon:          c.sloHorizon(j),
		ExclusiveSeconds: float64(j.PendingCount()) * float64(j.Spec.ResourceRequest.CPU) / float64(room) * c.expectedRunSeconds(j),
	}
}

// jobsWithinGuarantee tells which jobs fit into their team's guarantee along with
// the team's earlier unfinished ones: they need not wait for other teams.
func (c *Controller) jobsWithinGuarantee(p *state.Shard) map[*state.Job]bool {
	var js []*state.Job
	for _, j := range p.Jobs {
		if j.IsActive() && !j.Blocked {
			js = append(js, j)
		}
	}
	slices.SortStableFunc(js, func(a, b *state.Job) int { return cmp.Compare(a.ReadySince, b.ReadySince) })
	sum := map[string]cluster.Resources{}
	out := make(map[*state.Job]bool, len(js))
	for _, j := range js {
		left := cluster.Amount(j.Spec.Tasks - j.CompletedCount)
		u := sum[j.Spec.Team].Plus(cluster.Resources{CPU: j.Spec.ResourceRequest.CPU * left, GPU: j.Spec.ResourceRequest.GPU * left})
		sum[j.Spec.Team] = u
		g := c.state.Teams[j.Spec.Team].GuaranteedQuota
		out[j] = u.CPU <= g.CPU && u.GPU <= g.GPU
	}
	return out
}
