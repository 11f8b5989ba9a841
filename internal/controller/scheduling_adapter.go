package controller

import (
	"stairrelay/internal/scheduling"
	"stairrelay/internal/state"
)

// schedulingConfig is what the scheduler needs of the settings.
func (c *Controller) schedulingConfig() scheduling.Config {
	tuning := &c.config.Tuning
	return scheduling.Config{
		HeartbeatInterval: c.config.HeartbeatInterval,
		SLOs:              c.config.SLOs,
		ShortJobWeight:    tuning.ShortJobWeight,
		FirstTaskTarget:   tuning.FirstTaskTarget,
	}
}

// newScheduler connects the scheduler to the other parts.
func (c *Controller) newScheduler() *scheduling.Scheduler {
	return scheduling.New(c.loop, c.state, c.schedulingConfig(), scheduling.Dependencies{
		Workers:              schedulingWorkers{controller: c},
		Records:              c.inventory,
		Store:                c.writeQueue,
		SpotInterruptionRate: c.spotInterruptions.rate,
		CountMachineScans:    c.counters.addMachineScans,
		StretchDelay:         c.processHealth.StretchDelay,
	})
}

// schedulingWorkers stops tasks and drains machines for the scheduler.
type schedulingWorkers struct{ controller *Controller }

// StopTask implements scheduling.Workers.
func (w schedulingWorkers) StopTask(machine *state.Machine, assignment *state.Assignment, graceSeconds float64) {
	w.controller.stopTask(machine, assignment, graceSeconds)
}

// DrainMachine implements scheduling.Workers.
func (w schedulingWorkers) DrainMachine(machine *state.Machine) { w.controller.drainMachine(machine) }
