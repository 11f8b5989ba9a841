package controller

import (
	"testing"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
)

const (
	earlierAttempt = cluster.Attempt(7)
	presentAttempt = cluster.Attempt(8)
)

// statusUnderToken is a report of the machine's present session under its
// present token, which is proof of what it does not show.
func statusUnderToken(m *state.Machine, stamp cluster.SequenceNumber, tasks ...cluster.TaskStatus) *cluster.HeartbeatStatus {
	return &cluster.HeartbeatStatus{Machine: m.ID, Addr: m.Address, Incarnation: m.Incarnation, SequenceNumber: stamp, FencingToken: m.Token, PreemptionNotice: -1, Tasks: tasks}
}

// addMachineRunningPresentAttempt is a machine on which the present attempt of a task runs.
func addMachineRunningPresentAttempt(b *controllerHarness) (*state.Machine, *state.Assignment) {
	m, present := b.addRunningMachine(b.addTestJob("j-1", 1))
	present.Attempt = presentAttempt
	return m, present
}

// TestEarlierAttemptEndIgnored: a worker still shows the end of an earlier attempt of
// a task beside the present one. Taken for the present attempt's, that end would
// free the task, and it would start elsewhere while it runs here.
func TestEarlierAttemptEndIgnored(t *testing.T) {
	b := newControllerHarness()
	m, present := addMachineRunningPresentAttempt(b)
	task := present.Task
	b.reconciler.ApplyStatus(m, statusUnderToken(m, m.SequenceNumber+1,
		cluster.TaskStatus{Task: task, Attempt: earlierAttempt, State: cluster.Ended, Cause: cluster.CauseStopped},
		cluster.TaskStatus{Task: task, Attempt: presentAttempt, State: cluster.Running}), false)
	if present.ConfirmedAbsent || present.Phase != state.PhaseAcknowledged {
		t.Errorf("the present attempt: gone %v, phase %d; want it running", present.ConfirmedAbsent, present.Phase)
	}
	if !m.EndedToAcknowledge[state.TaskAttempt{Task: task, Attempt: earlierAttempt}] {
		t.Error("the worker is not told to forget the earlier attempt")
	}
}

// TestRunningEarlierAttemptStopped: a worker shows that an earlier attempt runs, and
// nothing of the present one, whose start was sent. Taken for the present
// attempt, it could not be stopped: commands name the attempt that they mean.
func TestRunningEarlierAttemptStopped(t *testing.T) {
	b := newControllerHarness()
	m, present := addMachineRunningPresentAttempt(b)
	present.Phase, present.DispatchedAtSequence = state.PhaseDispatched, m.SequenceNumber
	b.reconciler.ApplyStatus(m, statusUnderToken(m, m.SequenceNumber+1,
		cluster.TaskStatus{Task: present.Task, Attempt: earlierAttempt, State: cluster.Running}), false)
	if !m.UnrecordedToStop[state.TaskAttempt{Task: present.Task, Attempt: earlierAttempt}] {
		t.Error("the earlier attempt is not stopped")
	}
	if present.Phase != state.PhaseReady {
		t.Errorf("the present attempt is in phase %d, want %d: its start did not arrive", present.Phase, state.PhaseReady)
	}
}

// TestAbsenceInStaleHeartbeatIgnored: a report that lacks a task proves it gone only if it
// is newer than the last one taken in. One of an earlier session proves nothing
// whatever its stamp, as stamps begin anew with each session.
func TestAbsenceInStaleHeartbeatIgnored(t *testing.T) {
	const (
		lastSession = cluster.Incarnation(2)
		lastStamp   = cluster.SequenceNumber(5)
	)
	for _, test := range []struct {
		name    string
		session cluster.Incarnation
		stamp   cluster.SequenceNumber
		proof   bool
	}{
		{"newer", lastSession, lastStamp + 1, true},
		{"the same report again", lastSession, lastStamp, false},
		{"an older one of this session", lastSession, lastStamp - 1, false},
		{"an earlier session's, with a higher stamp", lastSession - 1, lastStamp + 50, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newControllerHarness()
			m, present := addMachineRunningPresentAttempt(b)
			m.Incarnation, m.SequenceNumber = lastSession, lastStamp
			report := statusUnderToken(m, test.stamp)
			report.Incarnation = test.session
			if taken := b.reconciler.ApplyStatus(m, report, false); taken != test.proof {
				t.Errorf("taken in %v, want %v", taken, test.proof)
			}
			if present.ConfirmedAbsent != test.proof {
				t.Errorf("the task counts as gone: %v, want %v", present.ConfirmedAbsent, test.proof)
			}
		})
	}
}
