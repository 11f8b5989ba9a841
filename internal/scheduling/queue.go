package scheduling

import (
	"cmp"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// The kinds of objectives.
const (
	sloWait     = "wait"
	sloFinished = "finished"
	sloDeadline = "deadline"
)

const (
	// queueOrderInterval is how long the order of a shard's jobs is kept unless jobs
	// come or go: it depends on times of seconds and more, and hundreds of jobs are
	// ranked.
	queueOrderInterval = 200 * millisecond
	// defaultObjectiveSeconds is the least time in which a job without objectives
	// should be done.
	defaultObjectiveSeconds = 600
	// missedTolerance is how long, in milliseconds, after its latest start a job is
	// still taken to meet an objective.
	missedToleranceMillis = 500
	// starvingHorizons is after how many horizons a job of which nothing runs is
	// starving.
	starvingHorizons = 2
	// minShardCPU keeps the ranks of the jobs of a shard without machines finite.
	minShardCPU = cluster.AmountsPerUnit
)

// JobQueue is the order in which the jobs of each shard are served. It gathers the
// facts by which RankJob ranks them.
type JobQueue struct {
	*shared
	runTimes *RunTimes
	spot     *SpotPreference
}

// Jobs lists a shard's jobs with pending tasks in the order in which they are served,
// and those that are within their team's guaranteed quota. Urgent ones come first,
// then the others by their latest start, so that less important work gets its turn
// before its time is up. What is too late for all its objectives waits behind what
// can still meet one, but not for ever: after four times its horizon it goes before
// newer urgent work, so that the large and the less important are served even if
// small and urgent work keeps coming.
func (q *JobQueue) Jobs(shard *state.Shard) ([]*state.Job, map[*state.Job]bool) {
	if shard.QueueOrder == nil || q.loop.Now() >= shard.QueueOrderAt+queueOrderInterval {
		q.rankJobs(shard)
	}
	jobs := make([]*state.Job, 0, len(shard.QueueOrder))
	for _, job := range shard.QueueOrder {
		if q.hasSchedulableTasks(job) {
			jobs = append(jobs, job)
		}
	}
	return jobs, shard.GuaranteedJobs
}

// hasSchedulableTasks tells whether a job has tasks that could be assigned now.
func (q *JobQueue) hasSchedulableTasks(job *state.Job) bool {
	return job.IsActive() && !job.Blocked && job.ChunksLoading == 0 && job.PendingCount() > 0 && q.loop.Now() >= job.BackoffUntil
}

// isStarving tells whether a job has waited too long without anything of it running:
// its first task, or, when it is older than twice its horizon, its next.
func (q *JobQueue) isStarving(job *state.Job) bool {
	return q.isFirstStartOverdue(job) ||
		job.AssignedCount == 0 && float64(q.loop.WallTime()) > float64(job.ReadySince)+starvingHorizons*q.horizon(job)
}

// isFirstStartOverdue tells whether a job has waited for its first task for so long
// that this goes before everything else: small and urgent work that keeps coming
// would else starve the large.
func (q *JobQueue) isFirstStartOverdue(job *state.Job) bool {
	return job.FirstRunAt == 0 && job.CompletedCount == 0 && job.AssignedCount == 0 && q.hasWaitedLong(job)
}

// isPreemptionExempt tells whether a job's only task must not be preempted: it was
// started because the job had waited too long. Stopped at once it would put the job
// back to waiting as one that has begun.
func (q *JobQueue) isPreemptionExempt(job *state.Job) bool {
	return job.CompletedCount == 0 && job.AssignedCount == 1 && q.hasWaitedLong(job)
}

// hasWaitedLong tells whether half of the target for first tasks has passed since a
// job was ready.
func (q *JobQueue) hasWaitedLong(job *state.Job) bool {
	waited := float64(q.loop.WallTime()) - float64(job.ReadySince)
	return waited > float64(q.config.FirstTaskTarget/millisecond)/2
}

// LatestStart is when a job's pending tasks must start to meet the first of its
// objectives that can still be met, as milliseconds of the time of day: its own
// deadline, that of a job that depends on it, or what the objectives say of its
// class. It is Never when none can be met.
func (q *JobQueue) LatestStart(job *state.Job) float64 {
	readyMillis, runMillis := float64(job.ReadySince), q.runTimes.ExpectedSeconds(job)*millisPerSecond
	starts := q.appendLatestStarts(make([]float64, 0, typicalObjectiveCount), job, readyMillis, runMillis)
	if known := q.state.Jobs.Known[job.Spec.ID]; known != nil && known.EffectiveDeadline > 0 && known.EffectiveDeadline != job.Spec.Deadline() {
		starts = append(starts, known.EffectiveDeadline-runMillis)
	}
	if len(starts) == 0 {
		starts = append(starts, readyMillis+max(job.Spec.DeadlineSeconds, defaultObjectiveSeconds)*millisPerSecond-runMillis)
	}
	latest := float64(NoLatestStart)
	for _, start := range starts {
		if start >= float64(q.loop.WallTime())-missedToleranceMillis {
			latest = min(latest, start)
		}
	}
	return latest
}

// typicalObjectives is how many objectives of a class are gone through without an
// allocation: the order of the queue asks for those of every pending job.
const typicalObjectiveCount = 8

// appendLatestStarts appends when a job that was ready at a time must start to meet
// each of the objectives of its class, given its run time. All times are in
// milliseconds.
func (q *JobQueue) appendLatestStarts(starts []float64, job *state.Job, readyMillis, runMillis float64) []float64 {
	for _, objective := range q.config.SLOs {
		if objective.Class != job.Spec.Class {
			continue
		}
		switch objective.Kind {
		case sloDeadline:
			if job.Spec.DeadlineSeconds > 0 {
				deadline := job.Spec.DeadlineSeconds * millisPerSecond * max(objective.DeadlineFactor, minDeadlineFactor)
				starts = append(starts, float64(job.Spec.SubmittedAt)+deadline-runMillis)
			}
		case sloFinished:
			starts = append(starts, readyMillis+objective.WithinSeconds*millisPerSecond-runMillis)
		case sloWait:
			starts = append(starts, readyMillis+objective.WithinSeconds*millisPerSecond)
		}
	}
	return starts
}

// horizon is the longest time, in milliseconds, that the objectives give a job. It
// bounds how far pending jobs can be moved back.
func (q *JobQueue) horizon(job *state.Job) float64 {
	horizon := 0.0
	for _, objective := range q.config.SLOs {
		if objective.Class != job.Spec.Class {
			continue
		}
		horizon = max(horizon, objective.WithinSeconds*millisPerSecond)
		if objective.Kind == sloDeadline {
			horizon = max(horizon, job.Spec.DeadlineSeconds*millisPerSecond*max(objective.DeadlineFactor, 1))
		}
	}
	if horizon == 0 {
		horizon = max(job.Spec.DeadlineSeconds, defaultObjectiveSeconds) * millisPerSecond
	}
	return horizon
}

// rankedJob is a job with its place in the order.
type rankedJob struct {
	job  *state.Job
	rank JobRank
}

// rankJobs works out the order in which a shard's jobs are served.
func (q *JobQueue) rankJobs(shard *state.Shard) {
	shardCPU := q.totalCPU(shard)
	shard.GuaranteedJobs = q.jobsWithinGuarantee(shard)
	shard.AvoidSpot = slices.ContainsFunc(shard.Jobs, func(job *state.Job) bool {
		return job.IsActive() && !job.Blocked && q.spot.prefersOnDemand(job)
	})
	ranked := make([]rankedJob, 0, len(shard.Jobs))
	for _, job := range shard.Jobs {
		// What waits for a backoff to pass may be schedulable before the next ranking.
		if !job.IsActive() || job.Blocked || job.PendingCount() == 0 && job.AssignedCount == 0 {
			continue
		}
		input := q.rankInput(job, shard.GuaranteedJobs[job], shardCPU)
		if !job.GuaranteeChecked && q.hasSchedulableTasks(job) {
			job.GuaranteeChecked, job.InitiallyGuaranteed = true, input.WithinGuarantee
		}
		ranked = append(ranked, rankedJob{job, RankJob(input, q.config.ShortJobWeight)})
	}
	slices.SortStableFunc(ranked, func(a, b rankedJob) int { return a.rank.Compare(b.rank) })
	shard.QueueOrder, shard.QueueOrderAt = make([]*state.Job, len(ranked)), q.loop.Now()
	for i := range ranked {
		shard.QueueOrder[i] = ranked[i].job
	}
}

// totalCPU is what all machines of a shard have, at least minShardCPU.
func (q *JobQueue) totalCPU(shard *state.Shard) cluster.Amount {
	total := cluster.Amount(minShardCPU)
	q.deps.CountMachineScans(shard.Machines)
	for _, machine := range shard.Machines {
		total += q.machineCapacity(machine).CPU
	}
	return total
}

// rankFacts gathers what a job's rank follows from.
func (q *JobQueue) rankInput(job *state.Job, withinGuarantee bool, shardCPU cluster.Amount) RankInput {
	return RankInput{
		Priority:          job.EffectivePriority,
		WithinGuarantee:   withinGuarantee,
		Now:               float64(q.loop.WallTime()),
		ReadySince:        float64(job.ReadySince),
		LatestStart:       q.LatestStart(job),
		Horizon:           q.horizon(job),
		WholeShardSeconds: float64(job.PendingCount()) * float64(job.Spec.ResourceRequest.CPU) / float64(shardCPU) * q.runTimes.ExpectedSeconds(job),
	}
}

// jobsWithinGuarantee tells which jobs fit into their team's guaranteed quota along
// with the team's earlier unfinished ones: they need not wait for other teams.
func (q *JobQueue) jobsWithinGuarantee(shard *state.Shard) map[*state.Job]bool {
	var unfinished []*state.Job
	for _, job := range shard.Jobs {
		if job.IsActive() && !job.Blocked {
			unfinished = append(unfinished, job)
		}
	}
	slices.SortStableFunc(unfinished, func(a, b *state.Job) int { return cmp.Compare(a.ReadySince, b.ReadySince) })
	requested := state.TeamUsage{}
	guaranteed := make(map[*state.Job]bool, len(unfinished))
	for _, job := range unfinished {
		team, request := job.Spec.Team, job.Spec.ResourceRequest
		unfinishedTasks := cluster.Amount(job.Spec.Tasks - job.CompletedCount)
		requested[team] = requested[team].Plus(cluster.Resources{CPU: request.CPU * unfinishedTasks, GPU: request.GPU * unfinishedTasks})
		guaranteed[job] = isWithinQuota(requested[team], q.state.Teams[team].GuaranteedQuota)
	}
	return guaranteed
}

// isWithinQuota tells whether a team's usage is within a quota. Memory has none.
func isWithinQuota(usage, quota cluster.Resources) bool {
	return usage.CPU <= quota.CPU && usage.GPU <= quota.GPU
}
