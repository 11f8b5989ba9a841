package simulation

import (
	"stairrelay/internal/cluster"
)

const (
	// starvationCheckInterval is the least time between two checks.
	starvationCheckInterval = 2 * second
	// starvedAfter is how long a job may wait while there is room for it.
	starvationTimeout = 90 * second
)

// starvationChecker checks that once all faults are over no job waits for long,
// with none of its tasks started meanwhile, while a machine that fits has room
// and its team is below its quota limit. It judges by what is on the machines
// alone.
type starvationChecker struct {
	*environment
	jobs      *jobTable
	machines  *Machines
	checkedAt cluster.Time
}

// machineLoad is what is on all machines.
type machineLoad struct {
	tasks map[cluster.TaskID]bool
	usage map[string]cluster.Resources // of each team
}

func (c *starvationChecker) check() {
	if !c.faultsOver() || c.Now-c.checkedAt < starvationCheckInterval {
		return
	}
	c.checkedAt = c.Now
	load := c.currentLoad()
	for _, id := range c.jobs.sortedIDs() {
		job := c.jobs.Jobs[id]
		if !c.canStart(job, load) {
			job.starvingSince = 0
			continue
		}
		if job.starvingSince == 0 {
			job.starvingSince = c.Now
		}
		if c.Now-max(job.starvingSince, job.lastStartAt) > starvationTimeout {
			c.reportViolation("left_waiting: no task of %s started for 90 s while there is room for one", id)
			return
		}
	}
}

func (c *starvationChecker) currentLoad() machineLoad {
	load := machineLoad{tasks: map[cluster.TaskID]bool{}, usage: map[string]cluster.Resources{}}
	for _, id := range c.machines.liveIDs() {
		for _, task := range c.machines.Workers[id].Tasks {
			if task.State == cluster.Ended {
				continue
			}
			spec := c.jobs.Jobs[task.ID.Job].Spec
			load.tasks[task.ID] = true
			load.usage[spec.Team] = load.usage[spec.Team].Plus(spec.ResourceRequest)
		}
	}
	return load
}

// canStart tells whether a task of a job could be started now. Jobs with an
// affinity are left out, as their tasks' places depend on one another.
func (c *starvationChecker) canStart(job *Job, load machineLoad) bool {
	spec := job.Spec
	if !job.isUnfinished() || spec.Colocate || spec.Spread || c.jobs.mayBeCancelled(job) {
		return false
	}
	return c.areDependenciesDone(job) &&
		c.hasPendingTask(spec, load) &&
		c.isWithinQuotaLimit(spec, load) &&
		c.fitsHealthyMachine(spec)
}

func (c *starvationChecker) areDependenciesDone(job *Job) bool {
	for _, dependency := range c.jobs.transitiveDependencies(job) {
		if dependency.ReportedStatus != cluster.JobDone {
			return false
		}
	}
	return true
}

func (c *starvationChecker) hasPendingTask(spec cluster.JobSpec, load machineLoad) bool {
	for index := range spec.Tasks {
		id := cluster.TaskID{Job: spec.ID, Index: index}
		if !c.jobs.doneTasks[id] && !load.tasks[id] {
			return true
		}
	}
	return false
}

// isWithinQuotaLimit tells whether a team may use one more task's resources.
// Memory has no limit.
func (c *starvationChecker) isWithinQuotaLimit(spec cluster.JobSpec, load machineLoad) bool {
	usage := load.usage[spec.Team].Plus(spec.ResourceRequest)
	for _, team := range c.config.Teams {
		if team.Name == spec.Team && (usage.CPU > team.QuotaLimit.CPU || usage.GPU > team.QuotaLimit.GPU) {
			return false
		}
	}
	return true
}

func (c *starvationChecker) fitsHealthyMachine(spec cluster.JobSpec) bool {
	for _, id := range c.machines.liveIDs() {
		worker := c.machines.Workers[id]
		if worker.isHealthy(c.Now) && allowsMachine(spec, worker.FakeWorker) &&
			worker.UsedResources().Plus(spec.ResourceRequest).FitsIn(worker.Capacity) {
			return true
		}
	}
	return false
}

// isHealthy tells whether the machine has no fault and is not being preempted.
func (w *SimulatedWorker) isHealthy(now cluster.Time) bool {
	faultyUntil := max(w.hungUntil, w.partitionedUntil, w.unreachableUntil, w.heartbeatsBlockedUntil, w.FaultyUntil)
	return now >= faultyUntil && w.PreemptionNotice < 0
}
