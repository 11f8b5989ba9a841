package scheduling

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// PendingTasks are tasks of one job that wait for machines.
type PendingTasks struct {
	Job      *state.Job
	Count    int
	Starving bool // the next task of a starving job
}

// PendingWork is what waits for machines in a shard, in the order in which it is
// served.
type PendingWork []PendingTasks

// PendingWork lists the pending tasks that the teams' quotas would let run at once.
func (q *JobQueue) PendingWork(shard *state.Shard) PendingWork {
	usage := shard.UsageByTeam()
	var work PendingWork
	jobs, _ := q.Jobs(shard)
	// The next task of a starving job comes first here as it does when tasks are
	// assigned: else no machine of the kind that it needs would ever be requested.
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

// Pack takes from the work what fits into the resources of one machine that the jobs
// may use, and returns how many tasks that are.
func (w PendingWork) Pack(free cluster.Resources, isAllowed func(*state.Job) bool) int {
	packed := 0
	for i := range w {
		pending := &w[i]
		request := pending.Job.Spec.ResourceRequest
		if pending.Count <= 0 || !request.FitsIn(free) || !isAllowed(pending.Job) {
			continue
		}
		count := min(pending.Count, free.FitCount(request))
		free = free.Minus(request.Times(count))
		pending.Count -= count
		packed += count
	}
	return packed
}

// TasksPerMachine counts how many tasks with a request an empty machine takes; at
// least one, as it divides prices.
func TasksPerMachine(capacity, request cluster.Resources) int {
	return max(capacity.FitCount(request), 1)
}
