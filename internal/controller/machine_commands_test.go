package controller

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestOnlyStopsBeforeTokenAcknowledged checks that a machine gets stops at any time, but
// no start while its token is being raised and no pushed start before the acknowledgement.
func TestOnlyStopsBeforeTokenAcknowledged(t *testing.T) {
	stop, both := []cluster.CommandKind{cluster.Stop}, []cluster.CommandKind{cluster.Stop, cluster.Start}
	for _, test := range []struct {
		name                  string
		raising, acknowledged bool
		answered, pushed      []cluster.CommandKind
	}{
		{"acknowledged", false, true, both, both},
		{"raising", true, true, stop, stop},
		{"unacknowledged", false, false, both, stop},
	} {
		t.Run(test.name+" heartbeat", func(t *testing.T) {
			h, machine := newHarnessWithStopAndStart(t)
			machine.RaisingToken, machine.TokenAcknowledged = test.raising, test.acknowledged
			machine.PendingHeartbeat = 9
			h.reconciler.Heartbeats.Answer(machine)
			response := lastEffect[messages.Respond](t, h)
			if got := commandKinds(response.Heartbeat.Commands); !slices.Equal(got, test.answered) {
				t.Errorf("sent %v, want %v", got, test.answered)
			}
		})
		t.Run(test.name+" push", func(t *testing.T) {
			h, machine := newHarnessWithStopAndStart(t)
			machine.RaisingToken, machine.TokenAcknowledged = test.raising, test.acknowledged
			h.reconciler.Commands.PushQueued()
			var commands []cluster.Command
			for _, effect := range h.loop.Effects() {
				if push, ok := effect.(messages.PushCommands); ok {
					commands = push.Commands
				}
			}
			if got := commandKinds(commands); !slices.Equal(got, test.pushed) {
				t.Errorf("sent %v, want %v", got, test.pushed)
			}
		})
	}
}

// newHarnessWithStopAndStart returns a harness and a machine with two tasks: one to
// stop, as its job is cancelled, and one to start.
func newHarnessWithStopAndStart(t *testing.T) (*controllerHarness, *state.Machine) {
	t.Helper()
	h := newControllerHarness()
	machine, running := h.addRunningMachine(h.addTestJob("j-1", 2))
	other := h.addTestJob("j-2", 1)
	ready := &state.Assignment{Task: cluster.TaskID{Job: "j-2", Index: 0}, Job: other, MachineID: machine.ID, Attempt: 8, Phase: state.PhaseReady}
	machine.AddAssignment(ready)
	other.SetAssigned(0, ready)
	h.jobs.Cancellations.CancelOwned("j-1", func(messages.ResponseStatus, *cluster.JobView) {})
	if !running.StopRequested {
		t.Fatal("no stop is requested for the cancelled job's task")
	}
	return h, machine
}

func commandKinds(commands []cluster.Command) []cluster.CommandKind {
	var kinds []cluster.CommandKind
	for _, command := range commands {
		kinds = append(kinds, command.Kind)
	}
	return kinds
}

// lastEffect returns the last effect, which must be of type T.
func lastEffect[T messages.Effect](t *testing.T, h *controllerHarness) T {
	t.Helper()
	effects := h.loop.Effects()
	if len(effects) == 0 {
		t.Fatal("no effect")
	}
	effect, ok := effects[len(effects)-1].(T)
	if !ok {
		t.Fatalf("the last effect has the wrong type %T", effects[len(effects)-1])
	}
	return effect
}

// TestUndeliveredStopSentAgain checks that a stop is sent again if its push was not
// applied or has an unknown outcome, and that a delivered one is not.
func TestUndeliveredStopSentAgain(t *testing.T) {
	for outcome, resent := range map[messages.Outcome]bool{messages.NotApplied: true, messages.UnknownOutcome: true, messages.OK: false} {
		h := newControllerHarness()
		machine, _ := h.addRunningMachine(h.addTestJob("j-1", 1))
		h.jobs.Cancellations.CancelOwned("j-1", func(messages.ResponseStatus, *cluster.JobView) {})
		h.reconciler.Commands.PushQueued()
		push := lastEffect[messages.PushCommands](t, h)
		takeEffects(h.Controller)
		status := cluster.HeartbeatStatus{
			Machine:          machine.ID,
			Addr:             machine.Address,
			Incarnation:      1,
			SequenceNumber:   2,
			FencingToken:     machine.Token,
			PreemptionNotice: -1,
			Tasks:            []cluster.TaskStatus{{Task: cluster.TaskID{Job: "j-1", Index: 0}, Attempt: 7, State: cluster.Running}},
		}
		h.loop.Deliver(messages.Reply{Call: push.Call, Body: messages.WorkerReply{Outcome: outcome, Status: status}})
		h.reconciler.Commands.QueuePush(machine)
		takeEffects(h.Controller)
		h.reconciler.Commands.PushQueued()
		if sent := len(h.loop.Effects()) > 0; sent != resent {
			t.Errorf("push outcome %v: stop is sent again: %v, want the opposite", outcome, sent)
		}
	}
}
