package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/provisioning"
)

// provisioningConfig is what provisioning needs of the settings.
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

// newProvisioner connects the provisioner to the other parts.
func (c *Controller) newProvisioner() *provisioning.Provisioner {
	return provisioning.New(c.loop, c.state, c.writeQueue, c.provisioningConfig(), provisioning.Dependencies{
		Members:         c.members,
		Scheduler:       provisioningScheduler{controller: c},
		Ownership:       c.ownership,
		Records:         c.inventory,
		Names:           c.recordNames,
		Orphans:         provisioningOrphans{controller: c},
		RequestScaleOut: c.scheduleScaleOut,
	})
}

// provisioningScheduler takes requests to schedule tasks.
type provisioningScheduler struct{ controller *Controller }

// RequestScheduling implements provisioning.Scheduler.
func (s provisioningScheduler) RequestScheduling() { s.controller.scheduler.Trigger.Request() }

// provisioningOrphans shows listed machines without a record to the reconciler, which
// is made after the provisioner.
type provisioningOrphans struct{ controller *Controller }

// HandleListed implements provisioning.Orphans.
func (o provisioningOrphans) HandleListed(item cluster.ListedMachine) {
	o.controller.reconciler.Orphans.HandleListed(item)
}

// ForgetUnlisted implements provisioning.Orphans.
func (o provisioningOrphans) ForgetUnlisted(listed map[cluster.MachineID]bool) {
	o.controller.reconciler.Orphans.ForgetUnlisted(listed)
}
