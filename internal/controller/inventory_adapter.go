package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/inventory"
	"stairrelay/internal/messages"
	"stairrelay/internal/ownership"
	"stairrelay/internal/provisioning"
	"stairrelay/internal/state"
)

func (c *Controller) inventoryConfig() inventory.Config {
	return inventory.Config{
		ValueLimit:         grouprecord.ValueLimit(c.config.MaxValueBytes),
		MaxTxnOps:          c.config.MaxTxnOps,
		CloudListLag:       c.config.CloudListLag,
		MaxScaleInMachines: provisioning.MaxMachinesPerScaleIn,
	}
}

// inventoryDependencies returns the components that the inventory calls.
func (c *Controller) inventoryDependencies() inventory.Dependencies {
	return inventory.Dependencies{
		Shards:    inventoryShards{Manager: c.ownership, shardLoader: shardLoader{c}},
		Jobs:      c.jobs.Records,
		Workers:   inventoryWorkers{controller: c},
		Scheduler: inventoryScheduler{controller: c},
		Cloud:     inventoryCloud{controller: c},
	}
}

// inventoryShards implements inventory.Shards.
type inventoryShards struct {
	*ownership.Manager
	shardLoader
}

// inventoryWorkers forwards the inventory's calls about workers to the reconciler.
type inventoryWorkers struct{ controller *Controller }

// ConfirmAbsent implements inventory.Workers.
func (a inventoryWorkers) ConfirmAbsent(machine *state.Machine, assignment *state.Assignment) {
	a.controller.reconciler.ConfirmAbsent(machine, assignment)
}

// QueueCommandPush implements inventory.Workers.
func (a inventoryWorkers) QueueCommandPush(machine *state.Machine) {
	a.controller.reconciler.Commands.QueuePush(machine)
}

// RecheckHeldHeartbeat implements inventory.Workers.
func (a inventoryWorkers) RecheckHeldHeartbeat(machine *state.Machine) {
	a.controller.reconciler.Heartbeats.Recheck(machine)
}

// RedirectWorker implements inventory.Workers.
func (a inventoryWorkers) RedirectWorker(request messages.RequestID, node cluster.NodeID) {
	a.controller.reconciler.Heartbeats.Redirect(request, node)
}

// inventoryScheduler forwards the inventory's calls to the scheduler and the reconciler.
type inventoryScheduler struct{ controller *Controller }

// RequestScheduling implements inventory.Scheduler.
func (a inventoryScheduler) RequestScheduling() { a.controller.scheduler.Trigger.Request() }

// MaintainMachines implements inventory.Scheduler.
func (a inventoryScheduler) MaintainMachines() { a.controller.reconciler.Maintenance.Run() }

// inventoryCloud forwards the inventory's calls to the provisioner.
type inventoryCloud struct{ controller *Controller }

// ScheduleScaleIn implements inventory.Cloud.
func (a inventoryCloud) ScheduleScaleIn() { a.controller.provisioner.ScaleIn.ScheduleCall() }

// ChargeCall implements inventory.Cloud.
func (a inventoryCloud) ChargeCall() { a.controller.provisioner.RateLimiter.ForceAcquire() }

// ListMachines implements inventory.Cloud.
func (a inventoryCloud) ListMachines(handle func(machines []cluster.ListedMachine, ok bool)) {
	a.controller.provisioner.List.Read(handle)
}
