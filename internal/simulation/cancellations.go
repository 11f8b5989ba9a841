package simulation

import (
	"sort"

	"stairrelay/internal/cluster"
)

const (
	// A job whose tasks still run longer than minRemainingToCancel counts as one
	// that runs.
	minRemainingToCancel = 5 * second
	// maxCancelSpread is the time within which users cancel several jobs at once.
	maxCancelSpread = 200 * millisecond
	// maxHungMachines bounds how many machines of cancelled jobs hang.
	maxHungMachines = 8
)

// Cancellations injects cancellations at moments that are hard to handle.
type Cancellations struct {
	*environment
	users       *Users
	jobs        *jobTable
	machines    *Machines
	atEndChance float64
	atEndUntil  cluster.Time
}

// CancelRandom has the user of some unfinished job cancel it.
func (c *Cancellations) CancelRandom() {
	cancellable := c.jobs.selectJobs(isCancellable)
	if len(cancellable) > 0 {
		c.users.Cancel(cancellable[c.Rand.IntN(len(cancellable))])
	}
}

// CancelAtEnd cancels a share of the jobs at the moment their last task ends.
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

// CancelRunning has the users of up to limit jobs, those with the longest to run,
// cancel them within a fifth of a second, while some of their machines hang for
// a while; hang 0: none does. It returns how many jobs there were.
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

// runningJob is where a job runs, and for how long its tasks will.
type runningJob struct {
	workers   []*SimulatedWorker // one for each task
	remaining cluster.Time       // of the task with the longest to run
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

// hangWorkers makes up to limit machines hang that do not yet, and returns how
// many it made.
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

// isCancellable tells whether a job is unfinished and its user has not cancelled it.
func isCancellable(job *Job) bool { return job.isUnfinished() && !job.CancelRequested }
