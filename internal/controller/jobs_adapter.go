package controller

import (
	"stairrelay/internal/jobs"
	"stairrelay/internal/state"
)

func (c *Controller) jobsConfig() jobs.Config {
	return jobs.Config{
		Self:               c.config.Self,
		Nodes:              c.config.Nodes,
		InstanceID:         c.config.InstanceID,
		MaxValueBytes:      c.config.MaxValueBytes,
		MaxTxnOps:          c.config.MaxTxnOps,
		CheckpointInterval: c.config.Tuning.CheckpointInterval,
	}
}

// newJobs returns a new jobs.Jobs, connected to the other components.
func (c *Controller) newJobs() *jobs.Jobs {
	return jobs.New(c.loop, c.state, c.writeQueue, c.jobsConfig(), jobs.Collaborators{
		Members:   c.members,
		Process:   c.processHealth,
		Ownership: c.ownership,
		Tasks:     jobTasks{controller: c},
		Scheduler: jobScheduler{controller: c},
	})
}

// jobTasks forwards calls from package jobs to the reconciler and the inventory.
type jobTasks struct{ controller *Controller }

// WithdrawUnsentStarts implements jobs.TaskStopper.
func (t jobTasks) WithdrawUnsentStarts(job *state.Job) {
	t.controller.reconciler.Stops.WithdrawUnsentStarts(job)
}

// StopAll implements jobs.TaskStopper.
func (t jobTasks) StopAll(job *state.Job) { t.controller.reconciler.Stops.StopJob(job) }

// RemoveAssignment implements jobs.TaskStopper.
func (t jobTasks) RemoveAssignment(machine *state.Machine, assignment *state.Assignment) {
	t.controller.inventory.RemoveAssignment(machine, assignment)
}

// jobScheduler forwards calls from package jobs to the scheduler and the provisioner.
type jobScheduler struct{ controller *Controller }

// RequestScheduling implements jobs.Scheduler.
func (s jobScheduler) RequestScheduling() { s.controller.scheduler.Trigger.Request() }

// RequestScaleOut implements jobs.Scheduler.
func (s jobScheduler) RequestScaleOut() { s.controller.provisioner.ScaleOut.Schedule() }

// RuntimeRatio implements jobs.Scheduler.
func (s jobScheduler) RuntimeRatio(class string) float64 {
	return s.controller.scheduler.Runtimes.RuntimeRatio(class)
}
