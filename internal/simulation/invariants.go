package simulation

import (
	"fmt"
	"slices"
	"strings"

	"stairrelay/internal/cluster"
)

const (
	// forgottenAfter is how long queries about an accepted job may stay unanswered
	// once all faults are over.
	lostJobTimeout = 75 * second
	// successorDelay is the time that a successor takes, at the most, to take over
	// after a controller has ended.
	successorDelay = 6 * second
)

// invariantChecker checks the protocol's rules as the simulation runs.
type invariantChecker struct {
	*environment
	jobs       *jobTable
	nodes      *nodeSet
	machines   *Machines
	store      *Store
	cloud      *CloudAPI
	starvation *starvationChecker
	startedOn  map[cluster.TaskID][]cluster.MachineID // where a task has ever started
}

// checkAll checks the rules that hold at every moment.
func (c *invariantChecker) checkAll() {
	c.checkQuotasAndCancellations()
	c.checkLostJobs()
	c.starvation.check()
}

// checkForgotten: once all faults are over, some controller answers about every
// accepted job.
func (c *invariantChecker) checkLostJobs() {
	if !c.faultsOver() {
		return
	}
	for _, job := range c.jobs.Jobs {
		if job.Accepted && c.Now-max(c.FaultsOverAt, job.lastAnswerAt) > lostJobTimeout {
			c.reportViolation("forgotten: no question about %s was answered for 75 s", job.Spec.ID)
			return
		}
	}
}

// handleTaskStart checks the rules that a task's start may break.
func (c *invariantChecker) handleTaskStart(on *FakeWorker, task *Task) {
	c.Log(fmt.Sprintf("%s runs %s attempt %d", on.ID, task.ID, task.Attempt))
	job := c.jobs.Jobs[task.ID.Job]
	if job == nil {
		c.reportViolation("%s started, no such job", task.ID)
		return
	}
	if job.FirstStartAt == 0 {
		job.FirstStartAt = c.Now
	}
	job.lastStartAt = c.Now
	c.checkDependenciesDone(job)
	c.checkDuplicateRun(on, task)
	c.checkPlacement(on, task, job)
	if !c.NoRandomFaults {
		c.checkQuotasAndCancellations()
	}
	c.checkStartAfterCancel(task, job)
}

// checkRunsOnce: a task does not start on a machine while it is on another.
func (c *invariantChecker) checkDuplicateRun(on *FakeWorker, task *Task) {
	// What runs has started, so only the machines on which it did matter.
	startedOn := c.startedOn[task.ID]
	if !slices.Contains(startedOn, on.ID) {
		c.startedOn[task.ID] = append(startedOn, on.ID)
	}
	for _, id := range startedOn {
		worker := c.machines.live(id)
		if worker == nil || worker.ID == on.ID {
			continue
		}
		other := worker.Tasks[task.ID]
		if other != nil && other.State != cluster.Ended && other.State != cluster.Fetching {
			c.reportViolation("ran_twice: %s starts on %s (attempt %d) while on %s (attempt %d)", task.ID, on.ID, task.Attempt, worker.ID, other.Attempt)
		}
	}
}

// checkPlacement: a task starts where its job allows, given the job's other tasks.
func (c *invariantChecker) checkPlacement(on *FakeWorker, task *Task, job *Job) {
	spec := job.Spec
	if !allowsMachine(spec, on) {
		c.reportViolation("wrong_place: %s on %s", task.ID, on.ID)
	}
	if !spec.Colocate && !spec.Spread {
		return
	}
	zones := c.countTasksByZone(task.ID.Job)
	if spec.Colocate && len(zones) > 1 {
		c.reportViolation("wrong_place: %s in more than one zone", task.ID)
	}
	if spec.Spread && zones[on.Zone] > (spec.Tasks+1)/2 {
		c.reportViolation("wrong_place: %s has %d of %d tasks in %s", task.ID, zones[on.Zone], spec.Tasks, on.Zone)
	}
}

// allowsMachine tells whether a job's tasks may run on a machine.
func allowsMachine(spec cluster.JobSpec, on *FakeWorker) bool {
	return (spec.Zone == "" || spec.Zone == on.Zone) &&
		(spec.Spot || !on.Spot) &&
		(len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, on.Type))
}

// countTasksByZone counts the tasks of a job that are on machines.
func (c *invariantChecker) countTasksByZone(job cluster.JobID) map[string]int {
	zones := map[string]int{}
	for _, id := range c.machines.liveIDs() {
		worker := c.machines.Workers[id]
		for _, task := range worker.Tasks {
			if task.ID.Job == job && task.isExecuting() {
				zones[worker.Zone]++
			}
		}
	}
	return zones
}

// isOnMachine tells whether the task uses its machine as the rules count it.
func (t *Task) isExecuting() bool {
	return t.State == cluster.Running || t.State == cluster.Checkpointing
}

// checkStartAfterCancel: no task starts long after its job was reported as
// cancelled.
func (c *invariantChecker) checkStartAfterCancel(task *Task, job *Job) {
	if job.CancelConfirmedAt == 0 {
		return
	}
	c.FaultCounts[FaultStartAfterCancel]++
	if c.isCancelOverdue(job) {
		c.reportViolation("ran_cancelled: %s starts", task.ID)
	}
}

// isCancelOverdue tells whether all tasks of a cancelled job should have ended.
func (c *invariantChecker) isCancelOverdue(job *Job) bool {
	return job.CancelConfirmedAt > 0 && c.Now-job.CancelConfirmedAt > c.config.CancelDeadline
}

// checkQuotasAndCancellations checks what is on all machines now against the quota
// limits of the teams and the cancellations that were confirmed.
func (c *invariantChecker) checkQuotasAndCancellations() {
	usage := map[string]cluster.Amount{}
	for _, id := range c.machines.liveIDs() {
		worker := c.machines.Workers[id]
		for _, task := range worker.Tasks {
			if !task.isExecuting() {
				continue
			}
			job := c.jobs.Jobs[task.ID.Job]
			usage[job.Spec.Team] += job.Spec.ResourceRequest.CPU
			if c.isCancelOverdue(job) && !c.onlyLeaseExpiryCanStop(job, worker) {
				c.reportViolation("ran_cancelled: %s is on %s", task.ID, id)
			}
		}
	}
	for _, team := range c.config.Teams {
		if usage[team.Name] > team.QuotaLimit.CPU {
			c.reportViolation("quota: %s uses %d:%s", team.Name, usage[team.Name], c.describeTeamTasks(team.Name))
		}
	}
}

// canOnlyLeaseStop tells whether nothing but its lease can end a cancelled job's
// task on a machine. That is so when the machine hangs on past the lease and,
// since the cancellation was confirmed, either the cloud takes no scale-in, or a
// controller ended, at most successorDelay before, and the state service is
// down, which alone knows which machines that controller owned.
func (c *invariantChecker) onlyLeaseExpiryCanStop(job *Job, worker *SimulatedWorker) bool {
	if !worker.isLeaseExpiredWhileHung(c.Now) {
		return false
	}
	cloudDown := c.cloud.DownUntil > job.CancelConfirmedAt
	storeDown := c.store.DownUntil > job.CancelConfirmedAt
	ownerEnded := c.nodes.lastKillAt+successorDelay > job.CancelConfirmedAt
	return cloudDown || storeDown && ownerEnded
}

// describeTeamTasks lists a team's tasks on machines, to show what exceeds its
// quota limit.
func (c *invariantChecker) describeTeamTasks(team string) string {
	var list strings.Builder
	for _, id := range c.machines.liveIDs() {
		for _, task := range c.machines.Workers[id].sortedTasks() {
			if task.isExecuting() && c.jobs.Jobs[task.ID.Job].Spec.Team == team {
				fmt.Fprintf(&list, " %s(%d)@%s", task.ID, task.Attempt, id)
			}
		}
	}
	return list.String()
}
