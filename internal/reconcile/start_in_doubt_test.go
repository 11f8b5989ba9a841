package reconcile

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestStartInDoubtUntilHigherTokenSeen guards against ran_twice and ran_cancelled: a pushed
// start without an answer may be executed until the worker has seen a higher token.
func TestStartInDoubtUntilHigherTokenSeen(t *testing.T) {
	for _, test := range []struct {
		name      string
		releasing bool
		raised    bool // a higher token is stored and seen by the worker
		lost      bool // the start is requeued
	}{
		{name: "token being raised"},
		{name: "higher token seen", raised: true, lost: true},
		{name: "machine being released", releasing: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			machine, assignment, push := h.pushStart()
			machine.Releasing = test.releasing
			h.loop.Deliver(messages.Reply{Call: push.Call, Body: messages.WorkerReply{Outcome: messages.UnknownOutcome}})
			if test.raised {
				machine.MarkTokenRaised(machine.Token+1, h.loop.Now())
			}
			h.ApplyStatus(machine, statusWithCurrentToken(machine, machine.SequenceNumber+1), false)
			want := state.PhaseDispatched
			if test.lost {
				want = state.PhaseReady
			}
			if assignment.Phase != want || assignment.ConfirmedAbsent {
				t.Errorf("phase %d, confirmed absent %v; want phase %d, not absent", assignment.Phase, assignment.ConfirmedAbsent, want)
			}
			if machine.StartInDoubt == test.lost {
				t.Errorf("in doubt: %v, want %v", machine.StartInDoubt, !test.lost)
			}
		})
	}
}

// TestPushNamesIncarnation guards against ran_twice: a copy of a push that arrives after the
// worker's lease has expired must be rejected, so the push names the incarnation.
func TestPushNamesIncarnation(t *testing.T) {
	for incarnation := cluster.Incarnation(1); incarnation <= 2; incarnation++ {
		h := newHarness(t)
		machine := h.addMachine()
		machine.Incarnation = incarnation
		h.assign(machine, h.addJob(), state.PhaseReady)
		h.Commands.QueuePush(machine)
		h.Commands.PushQueued()
		if push := h.pushes()[0]; push.Incarnation != incarnation {
			t.Errorf("pushed to incarnation %d, want %d", push.Incarnation, incarnation)
		}
	}
}
