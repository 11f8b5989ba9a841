package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
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
