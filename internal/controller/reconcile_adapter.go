package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/reconcile"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
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

// newReconciler connects the reconciler to the other parts.
func (c *Controller) newReconciler() *reconcile.Reconciler {
	return reconcile.New(c.loop, c.state, c.writeQueue, c.reconcileConfig(), reconcile.Dependencies{
		Ownership:         workerOwnership{controller: c},
		Machines:          machineRecords{controller: c},
		Jobs:              jobRecords{controller: c},
		Runtimes:          runtimeEstimates{controller: c},
		Reachability:      c.workerReachability,
		Process:           c.processHealth,
		Directory:         machineDirectory{controller: c},
		Registrar:         machineRegistrar{controller: c},
		Releaser:          machineReleaser{controller: c},
		Spot:              &c.spotInterruptions,
		Metrics:           &c.counters,
		IsIsolated:        c.isIsolated,
		RequestScheduling: c.schedulingTrigger.request,
	})
}

// isolationThreshold is the least time after which a controller may count as
// isolated.
const isolationThreshold = 10 * second

// isIsolated tells whether this controller has had neither the state service nor any
// other controller for so long that another may own its shards.
func (c *Controller) isIsolated() bool {
	patience := max(c.config.WorkerLease, isolationThreshold)
	return len(c.members.Peers()) > 0 && c.writeQueue.IsUnavailableFor(patience) && !c.members.HasAnswerWithin(patience)
}

// workerOwnership tells the reconciler what may be done as the owner of a shard.
type workerOwnership struct{ controller *Controller }

// CanAnswerWorkers implements reconcile.ShardOwnership.
func (o workerOwnership) CanAnswerWorkers(shard *state.Shard) bool {
	return o.controller.canAnswerWorkers(shard)
}

// CanStartTasks implements reconcile.ShardOwnership.
func (o workerOwnership) CanStartTasks(shard *state.Shard) bool {
	return o.controller.canStartTasks(shard)
}

// machineRecords writes and checks the machines' records for the reconciler.
type machineRecords struct{ controller *Controller }

// WriteMachine implements reconcile.MachineRecords.
func (r machineRecords) WriteMachine(machine *state.Machine, priority writequeue.Priority) {
	r.controller.writeMachine(machine, priority)
}

// RaiseToken implements reconcile.MachineRecords.
func (r machineRecords) RaiseToken(machine *state.Machine) { r.controller.raiseToken(machine) }

// CheckOwner implements reconcile.MachineRecords.
func (r machineRecords) CheckOwner(machine *state.Machine) { r.controller.checkOwner(machine) }

// jobRecords writes the jobs' records for the reconciler.
type jobRecords struct{ controller *Controller }

// WriteJob implements reconcile.JobRecords.
func (r jobRecords) WriteJob(job *state.Job, priority writequeue.Priority) {
	r.controller.writeJob(job, priority)
}

// runtimeEstimates shows the reconciler how long tasks run.
type runtimeEstimates struct{ controller *Controller }

// RecordRuntime implements reconcile.Runtimes.
func (e runtimeEstimates) RecordRuntime(machine *state.Machine, assignment *state.Assignment) {
	e.controller.recordRuntime(machine, assignment)
}

// ExpectedRemainingSeconds implements reconcile.Runtimes.
func (e runtimeEstimates) ExpectedRemainingSeconds(assignment *state.Assignment) float64 {
	return e.controller.expectedRemainingSeconds(assignment)
}

// HandleSlowMachine implements reconcile.Runtimes.
func (e runtimeEstimates) HandleSlowMachine(machine *state.Machine) {
	e.controller.handleSlowMachine(machine)
}

// machineReleaser gives machines back to the cloud for the reconciler.
type machineReleaser struct{ controller *Controller }

// Release implements reconcile.MachineReleaser.
func (r machineReleaser) Release(machine *state.Machine, reason reconcile.ReleaseReason) {
	r.controller.scaleInMachine(machine, string(reason))
}

// ReleaseBeforeRecorded implements reconcile.MachineReleaser.
func (r machineReleaser) ReleaseBeforeRecorded(machine *state.Machine) {
	r.controller.scaleInBeforeRecorded(machine)
}

// ScheduleCall implements reconcile.MachineReleaser.
func (r machineReleaser) ScheduleCall() { r.controller.scheduleScaleIn() }

// SurplusPredicate implements reconcile.MachineReleaser.
func (r machineReleaser) SurplusPredicate() func(*state.Machine) bool {
	return r.controller.surplusPredicate()
}

// machineDirectory tells the reconciler whose machines are that are not owned here.
type machineDirectory struct{ controller *Controller }

// RecentOwner implements reconcile.MachineDirectory.
func (d machineDirectory) RecentOwner(id cluster.MachineID, within cluster.Time) (cluster.ShardID, bool) {
	return d.controller.machineOwners.recent(id, d.controller.loop.Now(), within)
}

// LastOwner implements reconcile.MachineDirectory.
func (d machineDirectory) LastOwner(id cluster.MachineID) cluster.ShardID {
	return d.controller.machineOwners[id].shardID
}

// ReadRecordedMachines implements reconcile.MachineDirectory.
func (d machineDirectory) ReadRecordedMachines(handle func(*reconcile.RecordedMachines)) {
	d.controller.readRecordedMachines(func(recorded *recordedMachines) {
		if recorded == nil {
			handle(nil)
			return
		}
		handle(&reconcile.RecordedMachines{RequestedKinds: recorded.requestedKinds, Listed: recorded.listed})
	})
}

// machineRegistrar writes orphaned machines into records for the reconciler.
type machineRegistrar struct{ controller *Controller }

// MaxMachinesPerGroup implements reconcile.MachineRegistrar.
func (r machineRegistrar) MaxMachinesPerGroup() int { return r.controller.groupMachines() }

// RegisterMachines implements reconcile.MachineRegistrar.
func (r machineRegistrar) RegisterMachines(shard *state.Shard, machines []grouprecord.Machine, done func()) {
	r.controller.registerMachines(shard, machines, done)
}
