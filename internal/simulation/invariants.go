package simulation

import (
	"fmt"
	"slices"
	"strings"

	"stairrelay/internal/cluster"
)

const (
	// lostJobTimeout is how long requests about an accepted job may get no response
	// once all faults are over.
	lostJobTimeout = 75 * second
	// maxFailoverDuration is the maximum duration of a failover after a controller
	// was killed.
	maxFailoverDuration = 6 * second
)

// invariantChecker checks the scheduler's invariants during a simulation.
type invariantChecker struct {
	*environment
	jobs       *jobTable
	nodes      *nodeSet
	machines   *Machines
	store      *StoreAPI
	cloud      *CloudAPI
	starvation *starvationChecker
	startedOn  map[cluster.TaskID][]cluster.MachineID // all machines on which a task has started
}

// checkAll checks the invariants that must hold at any time.
func (c *invariantChecker) checkAll() {
	c.checkQuotasAndCancellations()
	c.checkLostJobs()
	c.starvation.check()
}

// checkLostJobs checks that no accepted job has been without a response to its requests
// for longer than lostJobTimeout since all faults are over.
func (c *invariantChecker) checkLostJobs() {
	if !c.faultsOver() {
		return
	}
	for _, job := range c.jobs.Jobs {
		if job.Accepted && c.Now-max(c.FaultsOverAt, job.lastResponseAt) > lostJobTimeout {
			c.reportViolation("forgotten: no request about %s got a response for 75 s", job.Spec.ID)
			return
		}
	}
}

// handleTaskStart records the start of a task and checks the invariants that it can
// violate.
func (c *invariantChecker) handleTaskStart(on *FakeWorker, task *Task) {
	c.Log(fmt.Sprintf("%s runs %s attempt %d", on.ID, task.ID, task.Attempt))
	job := c.jobs.Jobs[task.ID.Job]
	if job == nil {
		c.reportViolation("%s started, but its job was never submitted", task.ID)
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

// checkDuplicateRun checks that a task does not start while another machine executes it.
func (c *invariantChecker) checkDuplicateRun(on *FakeWorker, task *Task) {
	// Only machines on which the task has started before can still run it.
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
			c.reportViolation("ran_twice: %s starts on %s (attempt %d) while it runs on %s (attempt %d)", task.ID, on.ID, task.Attempt, worker.ID, other.Attempt)
		}
	}
}

// checkPlacement checks that a task starts on a machine that its job's placement and
// affinity constraints allow.
func (c *invariantChecker) checkPlacement(on *FakeWorker, task *Task, job *Job) {
	spec := job.Spec
	if !allowsMachine(spec, on) {
		c.reportViolation("wrong_place: %s starts on %s, which its job does not allow", task.ID, on.ID)
	}
	if !spec.Colocate && !spec.Spread {
		return
	}
	zones := c.countTasksByZone(task.ID.Job)
	if spec.Colocate && len(zones) > 1 {
		c.reportViolation("wrong_place: %s starts in a different zone than other tasks of its colocated job", task.ID)
	}
	if spec.Spread && zones[on.Zone] > (spec.Tasks+1)/2 {
		c.reportViolation("wrong_place: %s starts, so that %d of %d tasks of its spread job are in zone %s", task.ID, zones[on.Zone], spec.Tasks, on.Zone)
	}
}

// allowsMachine reports whether a job's tasks may run on a machine.
func allowsMachine(spec cluster.JobSpec, on *FakeWorker) bool {
	return (spec.Zone == "" || spec.Zone == on.Zone) &&
		(spec.Spot || !on.Spot) &&
		(len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, on.Type))
}

// countTasksByZone returns the number of executing tasks of a job in each zone.
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

// isExecuting reports whether the task is running or saving a checkpoint.
func (t *Task) isExecuting() bool {
	return t.State == cluster.Running || t.State == cluster.Checkpointing
}

// checkStartAfterCancel checks that no task starts after the cancellation deadline of
// its job.
func (c *invariantChecker) checkStartAfterCancel(task *Task, job *Job) {
	if job.CancelConfirmedAt == 0 {
		return
	}
	c.FaultCounts[FaultStartAfterCancel]++
	if c.isCancelOverdue(job) {
		c.reportViolation("ran_cancelled: %s starts after the cancellation deadline", task.ID)
	}
}

// isCancelOverdue reports whether the cancellation deadline of a job has passed. Its
// tasks must have ended by then.
func (c *invariantChecker) isCancelOverdue(job *Job) bool {
	return job.CancelConfirmedAt > 0 && c.Now-job.CancelConfirmedAt > c.config.CancelDeadline
}

// checkQuotasAndCancellations checks that the executing tasks keep to the CPU quota
// limits of the teams, and that no task of a cancelled job runs after the cancellation
// deadline, unless only lease expiry can end it.
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
				c.reportViolation("ran_cancelled: %s runs on %s after the cancellation deadline", task.ID, id)
			}
		}
	}
	for _, team := range c.config.Teams {
		if usage[team.Name] > team.QuotaLimit.CPU {
			c.reportViolation("quota: %s uses %d:%s", team.Name, usage[team.Name], c.describeTeamTasks(team.Name))
		}
	}
}

// onlyLeaseExpiryCanStop reports whether only lease expiry can end a cancelled job's task
// on a machine, because the machine hangs past its lease and could not be removed. A
// machine could not be removed if, after the cancellation was confirmed, the cloud was
// down, or the store was down while a shard may have failed over. In the second case, the
// new owner could not load the shard's machines.
func (c *invariantChecker) onlyLeaseExpiryCanStop(job *Job, worker *SimulatedWorker) bool {
	if !worker.isLeaseExpiredWhileHung(c.Now) {
		return false
	}
	cloudDown := c.cloud.DownUntil > job.CancelConfirmedAt
	storeDown := c.store.DownUntil > job.CancelConfirmedAt
	failoverPending := c.nodes.lastKillAt+maxFailoverDuration > job.CancelConfirmedAt
	return cloudDown || storeDown && failoverPending
}

// describeTeamTasks returns a list of a team's executing tasks for the message of a quota
// violation.
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
