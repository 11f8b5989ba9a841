package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/messages"
	"stairrelay/internal/provisioning"
	"stairrelay/internal/scheduling"
)

func (c *Controller) provisioningConfig() provisioning.Config {
	return provisioning.Config{
		Self:                 c.config.Self,
		Nodes:                c.config.Nodes,
		HeartbeatInterval:    c.config.HeartbeatInterval,
		CloudListLag:         c.config.CloudListLag,
		CloudRPS:             c.config.CloudRPS,
		BudgetShare:          c.config.Tuning.RateBudgetShare,
		OutOfCapacityBackoff: c.config.Tuning.OutOfCapacityBackoff,
		MaxValueBytes:        c.config.MaxValueBytes,
		ShareByDemand: func(limit, demand float64) float64 {
			return c.shareByDemand(limit, demand, c.writeQueue.LiveControllers(), func(ping *messages.Ping) float64 { return ping.CloudDemand })
		},
	}
}

// newProvisioner returns a new provisioner, connected to the other components.
func (c *Controller) newProvisioner() *provisioning.Provisioner {
	return provisioning.New(c.loop, c.state, c.writeQueue, c.provisioningConfig(), provisioning.Dependencies{
		Members:           c.members,
		Ownership:         c.ownership,
		Records:           c.inventory,
		Names:             c.recordNames,
		Orphans:           provisioningOrphans{controller: c},
		Work:              c.scheduler.Queue,
		Capacity:          c.scheduler,
		Eligibility:       c.scheduler.Eligibility,
		Runtimes:          c.scheduler.Runtimes,
		Sharing:           machineSharing{c.scheduler.Rebalancer, c.scheduler.Loads},
		RequestScheduling: c.scheduler.Trigger.Request,
		CountMachineScans: c.counters.AddMachineScans,
		StretchDelay:      c.processHealth.StretchDelay,
	})
}

// provisioningOrphans forwards calls about machines that the cloud lists, but no known
// record lists, from the provisioner to the reconciler. It looks the reconciler up at each
// call, because the reconciler is created after the provisioner.
type provisioningOrphans struct{ controller *Controller }

// HandleListed implements provisioning.Orphans.
func (o provisioningOrphans) HandleListed(item cluster.ListedMachine) {
	o.controller.reconciler.Orphans.HandleListed(item)
}

// ForgetUnlisted implements provisioning.Orphans.
func (o provisioningOrphans) ForgetUnlisted(listed map[cluster.MachineID]bool) {
	o.controller.reconciler.Orphans.ForgetUnlisted(listed)
}

// machineSharing implements provisioning.MachineSharing.
type machineSharing struct {
	*scheduling.Rebalancer
	loads *scheduling.ShardLoads
}

// ShardLoads implements provisioning.MachineSharing.
func (s machineSharing) ShardLoads() fairshare.Snapshot { return s.loads.All() }
