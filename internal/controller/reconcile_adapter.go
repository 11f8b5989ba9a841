package controller

import (
	"stairrelay/internal/reconcile"
	"stairrelay/internal/scheduling"
	"stairrelay/internal/state"
)

// reconcileConfig is what the reconciler needs of the settings.
func (c *Controller) reconcileConfig() reconcile.Config {
	return reconcile.Config{
		Self:              c.config.Self,
		HeartbeatInterval: c.config.HeartbeatInterval,
		WorkerLease:       c.config.WorkerLease,
		CancelDeadline:    c.config.CancelDeadline,
		CloudListLag:      c.config.CloudListLag,
		BootTimeoutFactor: c.config.Tuning.BootTimeoutFactor,
		ScaleInIdleTime:   c.config.Tuning.ScaleInIdleTime,
	}
}

// newReconciler connects the reconciler to the other components.
func (c *Controller) newReconciler() *reconcile.Reconciler {
	return reconcile.New(c.loop, c.state, c.writeQueue, c.reconcileConfig(), reconcile.Dependencies{
		Ownership:         c.ownership,
		Machines:          c.inventory,
		Jobs:              c.jobs.Records,
		Runtimes:          runtimes{c.scheduler.RunTimes, c.scheduler.Stragglers},
		Reachability:      c.workerReachability,
		Process:           c.processHealth,
		Directory:         c.inventory,
		Registrar:         c.inventory,
		Releaser:          machineReleaser{controller: c},
		Spot:              c.provisioner.Spot,
		Metrics:           &c.counters,
		IsIsolated:        c.isIsolated,
		RequestScheduling: c.scheduler.Trigger.Request,
	})
}

// isolationThreshold is the least time after which a controller may count as
// isolated.
const minIsolationTime = 10 * second

// isIsolated tells whether this controller has had neither the state service nor any
// other controller for so long that another may own its shards.
func (c *Controller) isIsolated() bool {
	threshold := max(c.config.WorkerLease, minIsolationTime)
	return len(c.members.Peers()) > 0 && c.writeQueue.IsUnavailableFor(threshold) && !c.members.HasAnswerWithin(threshold)
}

// runtimes shows the reconciler how long tasks run.
type runtimes struct {
	*scheduling.RunTimes
	*scheduling.Stragglers
}

// machineReleaser gives machines back to the cloud for the reconciler.
type machineReleaser struct{ controller *Controller }

// Release implements reconcile.MachineReleaser.
func (r machineReleaser) Release(machine *state.Machine, reason reconcile.ReleaseReason) {
	r.controller.provisioner.ScaleIn.Release(machine, string(reason))
}

// ReleaseBeforeRecorded implements reconcile.MachineReleaser.
func (r machineReleaser) ReleaseBeforeRecorded(machine *state.Machine) {
	r.controller.provisioner.ScaleIn.ReleaseBeforeRecorded(machine)
}

// ScheduleCall implements reconcile.MachineReleaser.
func (r machineReleaser) ScheduleCall() { r.controller.provisioner.ScaleIn.ScheduleCall() }

// SurplusPredicate implements reconcile.MachineReleaser.
func (r machineReleaser) SurplusPredicate() func(*state.Machine) bool {
	return r.controller.scheduler.Rebalancer.SurplusPredicate()
}
