package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/inventory"
	"stairrelay/internal/reconcile"
	"stairrelay/internal/state"
)

// reconcileConfig is what the reconciler needs of the settings.
func (c *Controller) reconcileConfig() reconcile.Config {
	return reconcile.Config{
		Self:         c.config.Self,
		CloudListLag: c.config.CloudListLag,
	}
}

// newReconciler connects the reconciler to the other parts.
func (c *Controller) newReconciler() *reconcile.Reconciler {
	return reconcile.New(c.loop, c.state, c.writeQueue, c.reconcileConfig(), reconcile.Dependencies{
		Directory:        machineDirectory{controller: c},
		Registrar:        machineRegistrar{controller: c},
		HandleHeartbeat:  c.handleHeartbeat,
		MaintainMachines: c.maintainMachines,
	})
}

// machineDirectory tells the reconciler whose machines are that are not owned here.
type machineDirectory struct{ controller *Controller }

// RecentOwner implements reconcile.MachineDirectory.
func (d machineDirectory) RecentOwner(id cluster.MachineID, within cluster.Time) (cluster.ShardID, bool) {
	return d.controller.inventory.RecentShardOf(id, within)
}

// LastOwner implements reconcile.MachineDirectory.
func (d machineDirectory) LastOwner(id cluster.MachineID) cluster.ShardID {
	shard, _ := d.controller.inventory.LastShardOf(id)
	return shard
}

// ReadRecordedMachines implements reconcile.MachineDirectory.
func (d machineDirectory) ReadRecordedMachines(handle func(*reconcile.RecordedMachines)) {
	d.controller.inventory.ReadRecordedMachines(func(recorded *inventory.RecordedMachines) {
		handle((*reconcile.RecordedMachines)(recorded))
	})
}

// machineRegistrar writes orphaned machines into records for the reconciler.
type machineRegistrar struct{ controller *Controller }

// MaxMachinesPerGroup implements reconcile.MachineRegistrar.
func (r machineRegistrar) MaxMachinesPerGroup() int { return r.controller.inventory.TargetGroupSize() }

// RegisterMachines implements reconcile.MachineRegistrar.
func (r machineRegistrar) RegisterMachines(shard *state.Shard, machines []grouprecord.Machine, done func()) {
	r.controller.inventory.RegisterMachines(shard, machines, done)
}
