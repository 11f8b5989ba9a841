package controller

import (
	"stairrelay/internal/scheduling"
	"stairrelay/internal/state"
)

func (c *Controller) schedulingConfig() scheduling.Config {
	tuning := &c.config.Tuning
	return scheduling.Config{
		HeartbeatInterval:  c.config.HeartbeatInterval,
		SLOs:               c.config.SLOs,
		ShortJobWeight:     tuning.ShortJobWeight,
		FirstTaskTarget:    tuning.FirstTaskTarget,
		SpareCapacityShare: tuning.SpareCapacityShare,
		MaxTxnOps:          c.config.MaxTxnOps,
	}
}

// newScheduler returns a new scheduler, connected to the other components.
func (c *Controller) newScheduler() *scheduling.Scheduler {
	return scheduling.New(c.loop, c.state, c.schedulingConfig(), scheduling.Dependencies{
		Stops:                taskStopper{controller: c},
		Records:              c.inventory,
		Groups:               c.inventory,
		Store:                c.writeQueue,
		Ownership:            c.ownership,
		Peers:                c.members,
		SpotInterruptionRate: func() float64 { return c.provisioner.Spot.Rate() }, // the provisioner is created after the scheduler
		CountMachineScans:    c.counters.AddMachineScans,
		StretchDelay:         c.processHealth.StretchDelay,
	})
}

// taskStopper lets the scheduler stop tasks and drain machines through the reconciler. It
// looks the reconciler up at each call, because the reconciler is created after the
// scheduler.
type taskStopper struct{ controller *Controller }

// Preempt implements scheduling.TaskStopper.
func (s taskStopper) Preempt(machine *state.Machine, assignment *state.Assignment) {
	s.controller.reconciler.Stops.Preempt(machine, assignment)
}

// MoveOffSlowMachine implements scheduling.TaskStopper.
func (s taskStopper) MoveOffSlowMachine(machine *state.Machine, assignment *state.Assignment) {
	s.controller.reconciler.Stops.MoveOffSlowMachine(machine, assignment)
}

// Drain implements scheduling.TaskStopper.
func (s taskStopper) Drain(machine *state.Machine) { s.controller.reconciler.Stops.Drain(machine) }
