package simulation

import (
	"sort"

	"stairrelay/internal/cluster"
)

const (
	// CancelRunning considers only tasks whose remaining run time exceeds
	// minRemainingToCancel.
	minRemainingToCancel = 5 * second
	// maxCancelSpread is the time within which CancelRunning cancels all jobs that
	// it has selected.
	maxCancelSpread = 200 * millisecond
	// maxHungMachines is the maximum number of machines that CancelRunning hangs.
	maxHungMachines = 8
)

// Cancellations injects cancellations that race with other events.
type Cancellations struct {
	*environment
	users       *Users
	jobs        *jobTable
	machines    *Machines
	atEndChance float64
	atEndUntil  cluster.Time
}

// CancelRandom cancels a random unfinished job, if there is one.
func (c *Cancellations) CancelRandom() {
	cancellable := c.jobs.selectJobs(isCancellable)
	if len(cancellable) > 0 {
		c.users.Cancel(cancellable[c.Rand.IntN(len(cancellable))])
	}
}

// CancelAtEnd cancels a share of the jobs as soon as all their tasks are done. It applies
// to jobs whose last task is done within the given duration.
func (c *Cancellations) CancelAtEnd(share float64, duration cluster.Time) {
	c.atEndChance = share
	c.atEndUntil = c.Now + duration
}

func (c *Cancellations) handleTaskDone(task cluster.TaskID) {
	if c.Now >= c.atEndUntil {
		return
	}
	job := c.jobs.Jobs[task.Job]
	if _, found := c.jobs.findUndoneTask(job); found {
		return
	}
	if isCancellable(job) && c.Chance(c.atEndChance) {
		c.FaultCounts[FaultCancelledAtEnd]++
		c.users.Cancel(job)
	}
}

// CancelRunning selects up to limit running jobs, those with the longest remaining run
// time first, and cancels them within maxCancelSpread. If hang is positive, up to
// maxHungMachines of their machines hang for that time. It returns the number of selected
// jobs.
func (c *Cancellations) CancelRunning(limit int, hang cluster.Time) int {
	running := c.runningJobs()
	ids := c.jobs.sortedIDs()
	sort.SliceStable(ids, func(i, k int) bool { return running[ids[i]].remaining > running[ids[k]].remaining })
	cancelled, hung := 0, 0
	for _, id := range ids {
		job := c.jobs.Jobs[id]
		if cancelled == limit || len(running[id].workers) == 0 || !isCancellable(job) {
			continue
		}
		cancelled++
		c.After(c.RandomBetween(0, maxCancelSpread), func() {
			c.FaultCounts[FaultRunningJobCancelled]++
			c.users.Cancel(job)
		})
		if hang > 0 {
			hung += c.hangWorkers(running[id].workers, maxHungMachines-hung, hang)
		}
	}
	return cancelled
}

// runningJob describes those running tasks of a job that CancelRunning considers.
type runningJob struct {
	workers   []*SimulatedWorker // one per task
	remaining cluster.Time       // longest remaining run time of its tasks
}

func (c *Cancellations) runningJobs() map[cluster.JobID]runningJob {
	jobs := map[cluster.JobID]runningJob{}
	for _, id := range c.machines.liveIDs() {
		worker := c.machines.Workers[id]
		for _, task := range worker.sortedTasks() {
			if task.State != cluster.Running || task.Remaining <= minRemainingToCancel {
				continue
			}
			job := jobs[task.ID.Job]
			job.workers = append(job.workers, worker)
			job.remaining = max(job.remaining, task.Remaining)
			jobs[task.ID.Job] = job
		}
	}
	return jobs
}

// hangWorkers makes up to limit of the workers' machines hang and returns how many. It
// skips machines that already hang.
func (c *Cancellations) hangWorkers(workers []*SimulatedWorker, limit int, duration cluster.Time) int {
	hung := 0
	for _, worker := range workers {
		if hung < limit && c.Now >= worker.hungUntil {
			hung++
			c.FaultCounts[FaultMachineOfCancelledJobHung]++
			c.machines.Hang(worker.ID, duration)
		}
	}
	return hung
}

// isCancellable reports whether a job is unfinished and its cancellation has not been
// requested.
func isCancellable(job *Job) bool { return job.isUnfinished() && !job.CancelRequested }
