package reconcile

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

const (
	earlierAttempt = cluster.Attempt(7)
	presentAttempt = cluster.Attempt(8)
)

// addMachineRunningPresentAttempt adds a machine on which the present attempt of a task
// runs.
func addMachineRunningPresentAttempt(h *harness) (*state.Machine, *state.Assignment) {
	h.t.Helper()
	machine, present := h.addRunningMachine(h.addJob())
	present.Attempt = presentAttempt
	return machine, present
}

// TestEarlierAttemptEndIgnored: a worker still shows the end of an earlier attempt of a
// task beside the present one. Taken for the present attempt's, that end would free the
// task, and it would start elsewhere while it runs here.
func TestEarlierAttemptEndIgnored(t *testing.T) {
	h := newHarness(t)
	machine, present := addMachineRunningPresentAttempt(h)
	task := present.Task
	h.ApplyStatus(machine, statusUnderToken(machine, machine.SequenceNumber+1,
		cluster.TaskStatus{Task: task, Attempt: earlierAttempt, State: cluster.Ended, Cause: cluster.CauseStopped},
		cluster.TaskStatus{Task: task, Attempt: presentAttempt, State: cluster.Running}), false)
	if present.ConfirmedAbsent || present.Phase != state.PhaseAcknowledged {
		t.Errorf("the present attempt: absent %v, phase %d; want it running", present.ConfirmedAbsent, present.Phase)
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
	machine, present := addMachineRunningPresentAttempt(h)
	present.Phase, present.DispatchedAtSequence = state.PhaseDispatched, machine.SequenceNumber
	h.ApplyStatus(machine, statusUnderToken(machine, machine.SequenceNumber+1,
		cluster.TaskStatus{Task: present.Task, Attempt: earlierAttempt, State: cluster.Running}), false)
	if !machine.UnrecordedToStop[state.TaskAttempt{Task: present.Task, Attempt: earlierAttempt}] {
		t.Error("the earlier attempt is not stopped")
	}
	if present.Phase != state.PhaseReady {
		t.Errorf("the present attempt is in phase %d, want %d: its start did not arrive", present.Phase, state.PhaseReady)
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
		proof       bool
	}{
		{"newer", lastIncarnation, lastSequence + 1, true},
		{"the same heartbeat again", lastIncarnation, lastSequence, false},
		{"an older one of this incarnation", lastIncarnation, lastSequence - 1, false},
		{"an earlier incarnation's, with a higher sequence number", lastIncarnation - 1, lastSequence + 50, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			machine, present := addMachineRunningPresentAttempt(h)
			machine.Incarnation, machine.SequenceNumber = lastIncarnation, lastSequence
			status := statusUnderToken(machine, test.sequence)
			status.Incarnation = test.incarnation
			if applied := h.ApplyStatus(machine, status, false); applied != test.proof {
				t.Errorf("applied %v, want %v", applied, test.proof)
			}
			if present.ConfirmedAbsent != test.proof {
				t.Errorf("the task counts as absent: %v, want %v", present.ConfirmedAbsent, test.proof)
			}
		})
	}
}
