package controller

import (
	"stairrelay/internal/reconcile"
	"stairrelay/internal/scheduling"
	"stairrelay/internal/state"
)

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

// newReconciler returns a new reconciler, connected to the other components.
func (c *Controller) newReconciler() *reconcile.Reconciler {
	return reconcile.New(c.loop, c.state, c.writeQueue, c.reconcileConfig(), reconcile.Dependencies{
		Ownership:         c.ownership,
		Machines:          c.inventory,
		Jobs:              c.jobs.Records,
		Runtimes:          runtimes{c.scheduler.Runtimes, c.scheduler.Stragglers},
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

// minIsolationTime is the minimum time without contact after which a controller is
// considered isolated. The worker lease is used instead if it is longer.
const minIsolationTime = 10 * second

// isIsolated reports whether this controller has reached neither the store nor any peer
// for so long that a peer may own its shards.
func (c *Controller) isIsolated() bool {
	threshold := max(c.config.WorkerLease, minIsolationTime)
	return len(c.members.Peers()) > 0 && c.writeQueue.IsUnavailableFor(threshold) && !c.members.HasReplyWithin(threshold)
}

// runtimes provides the expected run times and the stragglers to the reconciler.
type runtimes struct {
	*scheduling.Runtimes
	*scheduling.Stragglers
}

// machineReleaser implements reconcile.MachineReleaser. It releases machines through the
// provisioner, and the scheduler determines which machines are surplus.
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
