package simulation

import (
	"stairrelay/internal/cluster"
)

const (
	// starvationCheckInterval is the minimum time between two checks.
	starvationCheckInterval = 2 * second
	// starvationTimeout is how long a job may wait while there is capacity for it.
	starvationTimeout = 90 * second
)

// starvationChecker checks for starvation once all faults are over. A job starves if
// none of its tasks starts although a healthy machine has capacity for one and the
// team is within its quota limit. The check considers only the tasks on the machines,
// not the controllers' state.
type starvationChecker struct {
	*environment
	jobs      *jobTable
	machines  *Machines
	checkedAt cluster.Time
}

// machineLoad describes the tasks that have not ended, on all machines.
type machineLoad struct {
	tasks map[cluster.TaskID]bool
	usage map[string]cluster.Resources // by team
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
			c.reportViolation("left_waiting: no task of %s started for 90 s while there was capacity for one", id)
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

// canStart reports whether a task of a job could be started now. It returns false for
// jobs with affinity constraints, because the placements of their tasks depend on
// each other.
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

// isWithinQuotaLimit reports whether a team may use the resources of one more task.
// Memory is not limited.
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

// isHealthy reports whether the machine has no fault and is not being preempted.
func (w *SimulatedWorker) isHealthy(now cluster.Time) bool {
	faultyUntil := max(w.hungUntil, w.partitionedUntil, w.unreachableUntil, w.heartbeatsBlockedUntil, w.FaultyUntil)
	return now >= faultyUntil && w.PreemptionNotice < 0
}
