package reconcile

import (
	"testing"

	"stairrelay/internal/state"
)

// TestPreemptionNotice checks that a preemption notice stops only tasks that can't finish
// in time, and a task with checkpoints only when it must begin to write one.
func TestPreemptionNotice(t *testing.T) {
	for _, test := range []struct {
		name                      string
		checkpointIntervalSeconds float64
		checkpointWriteSeconds    float64
		remainingSeconds          float64
		secondsLeft               float64
		stopped                   bool
		grace                     float64
	}{
		{name: "finishes in time", remainingSeconds: 20, secondsLeft: 30},
		{name: "might finish", remainingSeconds: 45, secondsLeft: 30},
		{name: "cannot finish", remainingSeconds: 51, secondsLeft: 30, stopped: true},
		{name: "with checkpoints, finishes in time", checkpointIntervalSeconds: 60, checkpointWriteSeconds: 5, remainingSeconds: 9, secondsLeft: 12},
		{name: "with checkpoints, too early to stop", checkpointIntervalSeconds: 60, checkpointWriteSeconds: 5, remainingSeconds: 100, secondsLeft: 15},
		{name: "with checkpoints, time to stop", checkpointIntervalSeconds: 60, checkpointWriteSeconds: 5, remainingSeconds: 100, secondsLeft: 14, stopped: true, grace: 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			job := h.addJob()
			job.Spec.CheckpointIntervalSeconds, job.Spec.CheckpointWriteSeconds = test.checkpointIntervalSeconds, test.checkpointWriteSeconds
			h.remainingSeconds = test.remainingSeconds
			machine, running := h.addRunningMachine(job)
			h.Stops.handlePreemptionNotice(machine, test.secondsLeft)
			if running.StopRequested != test.stopped || running.GraceSeconds != test.grace {
				t.Errorf("stop requested %v with a grace period of %g s, want %v with %g s", running.StopRequested, running.GraceSeconds, test.stopped, test.grace)
			}
			if !machine.Draining || h.interruptions != 1 {
				t.Errorf("draining %v, %d interruptions counted; want true and 1", machine.Draining, h.interruptions)
			}
		})
	}
}

// TestPreemptWithdrawsUnsentStart checks that preempting a task withdraws a start that was
// not sent, but has no effect while the record that lists the task is being written.
func TestPreemptWithdrawsUnsentStart(t *testing.T) {
	for _, test := range []struct {
		name      string
		phase     state.AssignmentPhase
		stopped   bool
		withdrawn bool
	}{
		{"being recorded", state.PhaseRecording, false, false},
		{"ready", state.PhaseReady, true, true},
		{"dispatched", state.PhaseDispatched, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			machine := h.addMachine()
			assignment := h.assign(machine, h.addJob(), test.phase)
			h.Stops.Preempt(machine, assignment)
			if assignment.StopRequested != test.stopped || assignment.ConfirmedAbsent != test.withdrawn {
				t.Errorf("stop requested %v, withdrawn %v; want %v, %v", assignment.StopRequested, assignment.ConfirmedAbsent, test.stopped, test.withdrawn)
			}
		})
	}
}
