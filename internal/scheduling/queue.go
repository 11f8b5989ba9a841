package scheduling

import (
	"cmp"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// The kinds of service-level objectives (SLOs).
const (
	sloWait     = "wait"
	sloFinished = "finished"
	sloDeadline = "deadline"
)

const (
	// queueOrderInterval is how long the order of a shard's jobs is cached unless jobs
	// are added, removed or unblocked, because ranking hundreds of jobs is expensive.
	queueOrderInterval = 200 * millisecond
	// defaultObjectiveSeconds is the time within which a job without objectives should
	// finish, unless its deadline is longer.
	defaultObjectiveSeconds = 600
	// missedToleranceMillis is how long after its latest start a job is still expected
	// to meet an objective.
	missedToleranceMillis = 500
	// starvingHorizons is the number of horizons after which a job without assigned
	// tasks is starving.
	starvingHorizons = 2
	// minShardCPU avoids a division by zero for shards without machines.
	minShardCPU = cluster.AmountsPerUnit
)

// JobQueue orders the jobs of each shard. It collects the input of RankJob.
type JobQueue struct {
	*shared
	runtimes *Runtimes
	spot     *SpotPreference
}

// Jobs returns a shard's jobs with schedulable tasks in scheduling order, which RankJob
// defines, and the set of jobs within their team's guaranteed quota. The order and the
// set are cached for queueOrderInterval.
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

// hasSchedulableTasks reports whether a job has pending tasks and is neither blocked,
// still being loaded nor backing off.
func (q *JobQueue) hasSchedulableTasks(job *state.Job) bool {
	return job.IsActive() && !job.Blocked && job.ChunksLoading == 0 && job.PendingCount() > 0 && q.loop.Now() >= job.BackoffUntil
}

// isStarving reports whether a job has no assigned task and has waited too long for one.
// The limit is starvingHorizons horizons since the job became ready, or less for the first
// task; see isFirstStartOverdue.
func (q *JobQueue) isStarving(job *state.Job) bool {
	return q.isFirstStartOverdue(job) ||
		job.AssignedCount == 0 && float64(q.loop.WallTime()) > float64(job.ReadySince)+starvingHorizons*q.horizon(job)
}

// isFirstStartOverdue reports whether a job has waited so long for its first task that
// this task is scheduled before all other work. Without this, large jobs would starve
// under a steady load of small and urgent ones.
func (q *JobQueue) isFirstStartOverdue(job *state.Job) bool {
	return job.FirstRunAt == 0 && job.CompletedCount == 0 && job.AssignedCount == 0 && q.hasWaitedLong(job)
}

// isPreemptionExempt reports whether a job's only assigned task must not be preempted,
// because the job has waited too long for it. If the task were preempted, the job would
// have to wait again, without the precedence of a first task.
func (q *JobQueue) isPreemptionExempt(job *state.Job) bool {
	return job.CompletedCount == 0 && job.AssignedCount == 1 && q.hasWaitedLong(job)
}

// hasWaitedLong reports whether half of the first-task target has passed since a job
// became ready.
func (q *JobQueue) hasWaitedLong(job *state.Job) bool {
	waited := float64(q.loop.WallTime()) - float64(job.ReadySince)
	return waited > float64(q.config.FirstTaskTarget/millisecond)/2
}

// LatestStart returns when a job's pending tasks must start to meet the earliest
// objective that can still be met, in milliseconds of Unix time. Objectives are those of
// its class, its deadline and the deadlines of jobs that depend on it. The result is
// NoLatestStart if none can be met.
func (q *JobQueue) LatestStart(job *state.Job) float64 {
	readyMillis, runMillis := float64(job.ReadySince), q.runtimes.ExpectedSeconds(job)*millisPerSecond
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

// typicalObjectiveCount is the initial capacity of the slice of latest starts, so that
// LatestStart, which ranking calls for every job, rarely has to grow it.
const typicalObjectiveCount = 8

// appendLatestStarts appends the latest start for each objective of a job's class, in
// milliseconds of Unix time. readyMillis is when the job became ready, and runMillis is
// its expected run time.
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

// horizon returns the longest time that the objectives allow a job, in milliseconds. It
// is the unit of the limits on how long a job may be delayed.
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

// rankedJob is a job with its rank.
type rankedJob struct {
	job  *state.Job
	rank JobRank
}

// rankJobs recomputes the order of a shard's jobs, the jobs within their guaranteed
// quota, and whether any job should avoid spot machines.
func (q *JobQueue) rankJobs(shard *state.Shard) {
	shardCPU := q.totalCPU(shard)
	shard.GuaranteedJobs = q.jobsWithinGuarantee(shard)
	shard.HasOnDemandPreference = slices.ContainsFunc(shard.Jobs, func(job *state.Job) bool {
		return job.IsActive() && !job.Blocked && q.spot.prefersOnDemand(job)
	})
	ranked := make([]rankedJob, 0, len(shard.Jobs))
	for _, job := range shard.Jobs {
		// Jobs that are backing off are ranked too: they may become schedulable before
		// the next ranking.
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

// totalCPU returns the total CPUs of a shard's machines plus minShardCPU.
func (q *JobQueue) totalCPU(shard *state.Shard) cluster.Amount {
	total := cluster.Amount(minShardCPU)
	q.deps.CountMachineScans(shard.Machines)
	for _, machine := range shard.Machines {
		total += q.machineCapacity(machine).CPU
	}
	return total
}

// rankInput collects the input of RankJob for a job.
func (q *JobQueue) rankInput(job *state.Job, withinGuarantee bool, shardCPU cluster.Amount) RankInput {
	return RankInput{
		Priority:          job.EffectivePriority,
		WithinGuarantee:   withinGuarantee,
		Now:               float64(q.loop.WallTime()),
		ReadySince:        float64(job.ReadySince),
		LatestStart:       q.LatestStart(job),
		Horizon:           q.horizon(job),
		WholeShardSeconds: float64(job.PendingCount()) * float64(job.Spec.ResourceRequest.CPU) / float64(shardCPU) * q.runtimes.ExpectedSeconds(job),
	}
}

// jobsWithinGuarantee maps each unfinished job to whether it fits into its team's
// guaranteed quota together with the team's unfinished jobs that became ready earlier.
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

// isWithinQuota reports whether a team's usage is within a quota. Quotas don't limit
// memory.
func isWithinQuota(usage, quota cluster.Resources) bool {
	return usage.CPU <= quota.CPU && usage.GPU <= quota.GPU
}
