package reconcile

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// pushStart pushes the start of a task to a machine and returns the push.
func (h *harness) pushStart() (*state.Machine, *state.Assignment, messages.PushCommands) {
	h.t.Helper()
	machine := h.addMachine()
	assignment := h.assign(machine, h.addJob(), state.PhaseReady)
	h.Commands.QueuePush(machine)
	h.Commands.PushQueued()
	return machine, assignment, h.pushes()[0]
}

// TestLatePushReplyIgnored checks that the reply to a push has no effect on a machine that
// this controller no longer owns, or if another machine has answered at the address.
func TestLatePushReplyIgnored(t *testing.T) {
	t.Run("machine no longer owned", func(t *testing.T) {
		h := newHarness(t)
		machine, assignment, push := h.pushStart()
		h.state.RemoveMachine(machine)
		h.loop.Deliver(messages.Reply{Call: push.Call, Body: messages.WorkerReply{Outcome: messages.UnknownOutcome}})
		if len(h.raisedTokens) > 0 || assignment.Phase != state.PhaseDispatched {
			t.Errorf("tokens raised of %v, phase %d; want none and %d", h.raisedTokens, assignment.Phase, state.PhaseDispatched)
		}
	})
	t.Run("another machine at the address", func(t *testing.T) {
		h := newHarness(t)
		machine, assignment, push := h.pushStart()
		status := statusWithCurrentToken(machine, machine.SequenceNumber+1)
		status.Machine = "m-2"
		h.loop.Deliver(messages.Reply{Call: push.Call, Body: messages.WorkerReply{Outcome: messages.OK, Status: *status}})
		if machine.SequenceNumber == status.SequenceNumber || assignment.Phase != state.PhaseDispatched {
			t.Errorf("applied sequence number %d, phase %d; want no change and %d", machine.SequenceNumber, assignment.Phase, state.PhaseDispatched)
		}
	})
}

// TestNoTokenSeen checks that a worker that has seen no token counts as having acknowledged
// it only on a new machine to which no command can be on its way.
func TestNoTokenSeen(t *testing.T) {
	for _, test := range []struct {
		name         string
		prepare      func(*state.Machine)
		acknowledged bool
	}{
		{"new machine", func(machine *state.Machine) { machine.InitialToken = machine.Token }, true},
		{"acquired machine", func(*state.Machine) {}, false},
		{"token raised since", func(machine *state.Machine) { machine.InitialToken = machine.Token - 1 }, false},
		{"token being raised", func(machine *state.Machine) { machine.InitialToken, machine.RaisingToken = machine.Token, true }, false},
		{"pushed start in doubt", func(machine *state.Machine) { machine.InitialToken, machine.StartInDoubt = machine.Token, true }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			machine := h.addMachine()
			test.prepare(machine)
			h.applyToken(machine, cluster.FencingToken(0))
			if machine.TokenAcknowledged != test.acknowledged {
				t.Errorf("acknowledged: %v, want %v", machine.TokenAcknowledged, test.acknowledged)
			}
		})
	}
}
