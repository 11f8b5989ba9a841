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

// addMachineRunningCurrentAttempt adds a machine that runs the current attempt of a task.
func addMachineRunningCurrentAttempt(h *harness) (*state.Machine, *state.Assignment) {
	h.t.Helper()
	machine, current := h.addRunningMachine(h.addJob())
	current.Attempt = currentAttempt
	return machine, current
}

// TestEarlierAttemptEndIgnored checks that the end of an earlier attempt is not applied to
// the current one. Otherwise the task would start elsewhere while it runs here.
func TestEarlierAttemptEndIgnored(t *testing.T) {
	h := newHarness(t)
	machine, current := addMachineRunningCurrentAttempt(h)
	task := current.Task
	h.ApplyStatus(machine, statusWithCurrentToken(machine, machine.SequenceNumber+1,
		cluster.TaskStatus{Task: task, Attempt: earlierAttempt, State: cluster.Ended, Cause: cluster.CauseStopped},
		cluster.TaskStatus{Task: task, Attempt: currentAttempt, State: cluster.Running}), false)
	if current.ConfirmedAbsent || current.Phase != state.PhaseAcknowledged {
		t.Errorf("current attempt: confirmed absent %v, phase %d; want it running", current.ConfirmedAbsent, current.Phase)
	}
	if !machine.EndedToAcknowledge[state.TaskAttempt{Task: task, Attempt: earlierAttempt}] {
		t.Error("end of the earlier attempt is not acknowledged to the worker")
	}
}

// TestRunningEarlierAttemptStopped checks that a running earlier attempt is stopped and
// not mistaken for the current one, whose start was lost.
func TestRunningEarlierAttemptStopped(t *testing.T) {
	h := newHarness(t)
	machine, current := addMachineRunningCurrentAttempt(h)
	current.Phase, current.DispatchedAtSequence = state.PhaseDispatched, machine.SequenceNumber
	h.ApplyStatus(machine, statusWithCurrentToken(machine, machine.SequenceNumber+1,
		cluster.TaskStatus{Task: current.Task, Attempt: earlierAttempt, State: cluster.Running}), false)
	if !machine.UnrecordedToStop[state.TaskAttempt{Task: current.Task, Attempt: earlierAttempt}] {
		t.Error("earlier attempt is not stopped")
	}
	if current.Phase != state.PhaseReady {
		t.Errorf("current attempt is in phase %d, want %d, as its start was lost", current.Phase, state.PhaseReady)
	}
}

// TestAbsenceInStaleHeartbeatIgnored checks that a task missing from a stale heartbeat is
// not taken as absent. Sequence numbers restart with each incarnation.
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
		{"newer heartbeat", lastIncarnation, lastSequence + 1, true},
		{"duplicate heartbeat", lastIncarnation, lastSequence, false},
		{"older heartbeat of this incarnation", lastIncarnation, lastSequence - 1, false},
		{"earlier incarnation with a higher sequence number", lastIncarnation - 1, lastSequence + 50, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			machine, current := addMachineRunningCurrentAttempt(h)
			machine.Incarnation, machine.SequenceNumber = lastIncarnation, lastSequence
			status := statusWithCurrentToken(machine, test.sequence)
			status.Incarnation = test.incarnation
			if applied := h.ApplyStatus(machine, status, false); applied != test.applied {
				t.Errorf("applied: %v, want %v", applied, test.applied)
			}
			if current.ConfirmedAbsent != test.applied {
				t.Errorf("task confirmed absent: %v, want %v", current.ConfirmedAbsent, test.applied)
			}
		})
	}
}

// TestRepeatedStopNamesAttempt checks that a stop names the attempt that it is meant for, so
// that a late copy does not stop a later attempt of the task on the same machine.
func TestRepeatedStopNamesAttempt(t *testing.T) {
	h := newHarness(t)
	machine, assignment := h.addRunningMachine(h.addJob())
	h.Stops.Preempt(machine, assignment)
	h.Commands.PushQueued()
	stop := h.pushes()[0].Commands[0]
	if stop.Kind != cluster.Stop || stop.Task != assignment.Task || stop.Attempt != testAttempt {
		t.Errorf("sent %+v, want the stop of attempt %d", stop, testAttempt)
	}
}

// TestStartWaitsForEarlierAttempt checks that a task is not started on a machine while the
// worker holds an earlier attempt of it, which would make the worker reject the start.
func TestStartWaitsForEarlierAttempt(t *testing.T) {
	h := newHarness(t)
	machine := h.addMachine()
	current := h.assign(machine, h.addJob(), state.PhaseReady)
	current.Attempt = currentAttempt
	earlier := state.TaskAttempt{Task: current.Task, Attempt: earlierAttempt}
	machine.EndedToAcknowledge[earlier] = true
	if commands := h.Commands.For(machine, true); len(commands) != 0 {
		t.Errorf("sent %+v while the earlier attempt is not acknowledged", commands)
	}
	machine.PruneStaleAttempts(map[state.TaskAttempt]bool{})
	if commands := h.Commands.For(machine, true); len(commands) != 1 || commands[0].Attempt != currentAttempt {
		t.Errorf("sent %+v after the acknowledgement, want the start", commands)
	}
}
