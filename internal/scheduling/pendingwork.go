package scheduling

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// PendingTasks is a number of pending tasks of one job.
type PendingTasks struct {
	Job      *state.Job
	Count    int
	Starving bool // whether this is the next task of a starving job
}

// PendingWork is the pending tasks of a shard, in scheduling order.
type PendingWork []PendingTasks

// PendingWork returns the next task of each starving job of a shard and the other pending
// tasks that fit into their teams' quotas. The next task of a starving job is listed even
// if it exceeds the quota.
func (q *JobQueue) PendingWork(shard *state.Shard) PendingWork {
	usage := shard.UsageByTeam()
	var work PendingWork
	jobs, _ := q.Jobs(shard)
	// The next task of each starving job comes first, as in assignStarvingJobs.
	// Otherwise machines of the kinds that these tasks need might never be requested.
	listed := map[*state.Job]int{}
	for _, job := range jobs {
		if q.isStarving(job) {
			listed[job] = 1
			usage[job.Spec.Team] = usage[job.Spec.Team].Plus(job.Spec.ResourceRequest)
			work = append(work, PendingTasks{Job: job, Count: 1, Starving: true})
		}
	}
	for _, job := range jobs {
		request, team := job.Spec.ResourceRequest, job.Spec.Team
		quotaLeft := q.state.Teams[team].QuotaLimit.Minus(usage[team])
		count := min(job.PendingCount()-listed[job], quotaLeft.FitCount(cluster.Resources{CPU: request.CPU, GPU: request.GPU}))
		if count <= 0 {
			continue
		}
		usage[team] = usage[team].Plus(request.Times(count))
		work = append(work, PendingTasks{Job: job, Count: count})
	}
	return work
}

// minCPU returns the smallest number of CPUs that a task of w requests, or 0 if w is empty.
func (w PendingWork) minCPU() cluster.Amount {
	if len(w) == 0 {
		return 0
	}
	smallest := w[0].Job.Spec.ResourceRequest.CPU
	for i := range w {
		smallest = min(smallest, w[i].Job.Spec.ResourceRequest.CPU)
	}
	return smallest
}

// Pack removes from w the tasks that fit on one machine, in order, and returns their number.
// Jobs for which isAllowed returns false are skipped.
func (w PendingWork) Pack(free cluster.Allocatable, isAllowed func(*state.Job) bool) int {
	packed := 0
	for i := range w {
		pending := &w[i]
		request := pending.Job.Spec.ResourceRequest
		if pending.Count <= 0 || !free.Fits(request) || !isAllowed(pending.Job) {
			continue
		}
		count := min(pending.Count, free.FitCount(request))
		free = free.Minus(request, count)
		pending.Count -= count
		packed += count
	}
	return packed
}

// TasksPerMachine returns how many tasks with a request fit on an empty machine of a type.
// The result is 1 even if none fits, because callers divide by it.
func TasksPerMachine(machineType cluster.MachineType, request cluster.Resources) int {
	return max(machineType.Allocatable().FitCount(request), 1)
}
