package reconcile

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

const (
	earlierAttempt = cluster.Attempt(7)
	currentAttempt = cluster.Attempt(8)
)

// addMachineRunningPresentAttempt adds a machine on which the present attempt of a task
// runs.
func addMachineRunningCurrentAttempt(h *harness) (*state.Machine, *state.Assignment) {
	h.t.Helper()
	machine, current := h.addRunningMachine(h.addJob())
	current.Attempt = currentAttempt
	return machine, current
}

// TestEarlierAttemptEndIgnored: a worker still shows the end of an earlier attempt of a
// task beside the present one. Taken for the present attempt's, that end would free the
// task, and it would start elsewhere while it runs here.
func TestEarlierAttemptEndIgnored(t *testing.T) {
	h := newHarness(t)
	machine, current := addMachineRunningCurrentAttempt(h)
	task := current.Task
	h.ApplyStatus(machine, statusWithCurrentToken(machine, machine.SequenceNumber+1,
		cluster.TaskStatus{Task: task, Attempt: earlierAttempt, State: cluster.Ended, Cause: cluster.CauseStopped},
		cluster.TaskStatus{Task: task, Attempt: currentAttempt, State: cluster.Running}), false)
	if current.ConfirmedAbsent || current.Phase != state.PhaseAcknowledged {
		t.Errorf("the present attempt: absent %v, phase %d; want it running", current.ConfirmedAbsent, current.Phase)
	}
	if !machine.EndedToAcknowledge[state.TaskAttempt{Task: task, Attempt: earlierAttempt}] {
		t.Error("the end of the earlier attempt is not acknowledged to the worker")
	}
}

// TestRunningEarlierAttemptStopped: a worker shows that an earlier attempt runs, and
// nothing of the present one, whose start was sent. Taken for the present attempt, it
// could not be stopped: commands name the attempt that they mean.
func TestRunningEarlierAttemptStopped(t *testing.T) {
	h := newHarness(t)
	machine, current := addMachineRunningCurrentAttempt(h)
	current.Phase, current.DispatchedAtSequence = state.PhaseDispatched, machine.SequenceNumber
	h.ApplyStatus(machine, statusWithCurrentToken(machine, machine.SequenceNumber+1,
		cluster.TaskStatus{Task: current.Task, Attempt: earlierAttempt, State: cluster.Running}), false)
	if !machine.UnrecordedToStop[state.TaskAttempt{Task: current.Task, Attempt: earlierAttempt}] {
		t.Error("the earlier attempt is not stopped")
	}
	if current.Phase != state.PhaseReady {
		t.Errorf("the present attempt is in phase %d, want %d: its start did not arrive", current.Phase, state.PhaseReady)
	}
}

// TestAbsenceInStaleHeartbeatIgnored: a heartbeat that lacks a task proves it absent only
// if it is newer than the last one applied. One of an earlier incarnation proves nothing
// whatever its sequence number, as these begin anew with each incarnation.
func TestAbsenceInStaleHeartbeatIgnored(t *testing.T) {
	const (
		lastIncarnation = cluster.Incarnation(2)
		lastSequence    = cluster.SequenceNumber(5)
	)
	for _, test := range []struct {
		name        string
		incarnation cluster.Incarnation
		sequence    cluster.SequenceNumber
		applied     bool
	}{
		{"newer", lastIncarnation, lastSequence + 1, true},
		{"the same heartbeat again", lastIncarnation, lastSequence, false},
		{"an older one of this incarnation", lastIncarnation, lastSequence - 1, false},
		{"an earlier incarnation's, with a higher sequence number", lastIncarnation - 1, lastSequence + 50, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			machine, current := addMachineRunningCurrentAttempt(h)
			machine.Incarnation, machine.SequenceNumber = lastIncarnation, lastSequence
			status := statusWithCurrentToken(machine, test.sequence)
			status.Incarnation = test.incarnation
			if applied := h.ApplyStatus(machine, status, false); applied != test.applied {
				t.Errorf("applied %v, want %v", applied, test.applied)
			}
			if current.ConfirmedAbsent != test.applied {
				t.Errorf("the task counts as absent: %v, want %v", current.ConfirmedAbsent, test.applied)
			}
		})
	}
}
