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
	// queueOrderInterval is how long the order of a shard's jobs is cached unless a job
	// is added or unblocked, because ranking hundreds of jobs is expensive.
	queueOrderInterval = 200 * millisecond
	// defaultObjectiveSeconds is the time within which a job should finish if neither its
	// class nor a dependent job gives it an objective. If the job has a longer deadline,
	// the deadline is used instead.
	defaultObjectiveSeconds = 600
	// missedToleranceMillis is how long after the latest start for an objective a job is
	// still expected to meet that objective.
	missedToleranceMillis = 500
	// starvingHorizons is the number of horizons after which a job without assigned
	// tasks is starving. See JobQueue.horizon.
	starvingHorizons = 2
	// minShardCPU is added to the total CPUs of a shard to avoid a division by zero if it
	// has no machines.
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

// hasSchedulableTasks reports whether a job has pending tasks that may be scheduled now. A
// job that is finished, being cancelled, blocked, being loaded or backing off has none.
func (q *JobQueue) hasSchedulableTasks(job *state.Job) bool {
	return job.IsActive() && !job.Blocked && job.ChunksLoading == 0 && job.PendingCount() > 0 && q.loop.Now() >= job.BackoffUntil
}

// isStarving reports whether a job has no assigned task although starvingHorizons horizons
// have passed since it became ready. For a job that has not run any task yet, half of the
// first-task target is enough; see isFirstStartOverdue.
func (q *JobQueue) isStarving(job *state.Job) bool {
	return q.isFirstStartOverdue(job) ||
		job.AssignedCount == 0 && float64(q.loop.WallTime()) > float64(job.ReadySince)+starvingHorizons*q.horizon(job)
}

// reservations returns the starving jobs for which machines of a shard are reserved.
func (q *JobQueue) reservations(shard *state.Shard) map[cluster.MachineID]*state.Job {
	reservations := map[cluster.MachineID]*state.Job{}
	jobs, _ := q.Jobs(shard)
	for _, job := range jobs {
		if job.ReservedMachine != "" && q.isStarving(job) {
			reservations[job.ReservedMachine] = job
		}
	}
	return reservations
}

// isFirstStartOverdue reports whether a job has waited so long for its first task that
// this task is scheduled before all other work. Without this, large jobs would starve
// under a steady load of small and urgent ones.
func (q *JobQueue) isFirstStartOverdue(job *state.Job) bool {
	return job.FirstRunAt == 0 && job.CompletedCount == 0 && job.AssignedCount == 0 && q.isPastHalfTarget(job)
}

// isPreemptionExempt reports whether a job's only assigned task must not be preempted: the
// job has not completed any task, and half of the first-task target has passed since it
// became ready. If the task were preempted, the job would have to wait again, without the
// precedence of a first task.
func (q *JobQueue) isPreemptionExempt(job *state.Job) bool {
	return job.CompletedCount == 0 && job.AssignedCount == 1 && q.isPastHalfTarget(job)
}

// isPastHalfTarget reports whether half of the first-task target has passed since a job
// became ready.
func (q *JobQueue) isPastHalfTarget(job *state.Job) bool {
	sinceReady := float64(q.loop.WallTime()) - float64(job.ReadySince)
	return sinceReady > float64(q.config.FirstTaskTarget/millisecond)/2
}

// LatestStart returns the time by which a job's pending tasks must start to meet one of
// its objectives, in milliseconds of Unix time. Of the latest starts for all objectives it
// is the earliest that has not passed by more than missedToleranceMillis, or NoLatestStart
// if all have.
//
// The objectives are those of the job's class and the earliest deadline of the jobs that
// depend on it. A job without objectives should finish within its own deadline or within
// defaultObjectiveSeconds, whichever is longer.
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

// horizon returns the longest time, in milliseconds, that the objectives of a job's class
// allow for the job. Limits on how long a job may be delayed are multiples of the horizon.
// For a job without objectives it is the job's deadline or defaultObjectiveSeconds,
// whichever is longer.
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

// rankJobs recomputes the order of a shard's jobs, the set of jobs within their team's
// guaranteed quota, and whether any job prefers on-demand machines. For each job that is
// schedulable for the first time, it records whether the job is within the quota.
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

// jobsWithinGuarantee maps each unfinished job that is not blocked to whether it fits into
// its team's guaranteed quota together with the team's other such jobs that became ready
// earlier.
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
