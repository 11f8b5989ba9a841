package controller

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestOnlyStopsBeforeTokenAcknowledged: what is sent to a machine that waits for a higher
// fencing token, or has not acknowledged its own, holds the stops of cancelled tasks and
// no start.
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
		t.Run(test.name+" answered", func(t *testing.T) {
			b, machine := newHarnessWithStopAndStart(t)
			machine.RaisingToken, machine.TokenAcknowledged = test.raising, test.acknowledged
			machine.PendingHeartbeat = 9
			b.reconciler.Heartbeats.Answer(machine)
			answer := lastEffect[messages.Respond](t, b)
			if got := commandKinds(answer.Heartbeat.Commands); !slices.Equal(got, test.answered) {
				t.Errorf("sent %v, want %v", got, test.answered)
			}
		})
		t.Run(test.name+" pushed", func(t *testing.T) {
			b, machine := newHarnessWithStopAndStart(t)
			machine.RaisingToken, machine.TokenAcknowledged = test.raising, test.acknowledged
			b.reconciler.Commands.PushQueued()
			var commands []cluster.Command
			for _, effect := range b.loop.Effects() {
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

// newHarnessWithStopAndStart is a harness with a machine that has a task to stop, whose
// job is cancelled, and one to start.
func newHarnessWithStopAndStart(t *testing.T) (*controllerHarness, *state.Machine) {
	t.Helper()
	b := newControllerHarness()
	machine, running := b.addRunningMachine(b.addTestJob("j-1", 2))
	other := b.addTestJob("j-2", 1)
	ready := &state.Assignment{Task: cluster.TaskID{Job: "j-2", Index: 0}, Job: other, MachineID: machine.ID, Attempt: 8, Phase: state.PhaseReady}
	machine.AddAssignment(ready)
	other.SetAssigned(0, ready)
	b.jobs.Cancellations.CancelOwned("j-1", func(messages.ReplyStatus, *cluster.JobView) {})
	if !running.StopRequested {
		t.Fatal("the cancelled job's task is not to stop")
	}
	return b, machine
}

// commandKinds lists the kinds of commands.
func commandKinds(commands []cluster.Command) []cluster.CommandKind {
	var kinds []cluster.CommandKind
	for _, command := range commands {
		kinds = append(kinds, command.Kind)
	}
	return kinds
}

// lastEffect returns the last effect, which must be of a type.
func lastEffect[T messages.Effect](t *testing.T, b *controllerHarness) T {
	t.Helper()
	effects := b.loop.Effects()
	if len(effects) == 0 {
		t.Fatal("no effect")
	}
	effect, ok := effects[len(effects)-1].(T)
	if !ok {
		t.Fatalf("the last effect is %T", effects[len(effects)-1])
	}
	return effect
}

// TestUndeliveredStopSentAgain: a stop whose call was not carried out, or has no reply,
// is sent again by the next call; one that arrived is not.
func TestUndeliveredStopSentAgain(t *testing.T) {
	for outcome, again := range map[messages.Outcome]bool{messages.NotApplied: true, messages.UnknownOutcome: true, messages.OK: false} {
		b := newControllerHarness()
		machine, _ := b.addRunningMachine(b.addTestJob("j-1", 1))
		b.jobs.Cancellations.CancelOwned("j-1", func(messages.ReplyStatus, *cluster.JobView) {})
		b.reconciler.Commands.PushQueued()
		push := lastEffect[messages.PushCommands](t, b)
		takeEffects(b.Controller)
		status := cluster.HeartbeatStatus{
			Machine:          machine.ID,
			Addr:             machine.Address,
			Incarnation:      1,
			SequenceNumber:   2,
			FencingToken:     machine.Token,
			PreemptionNotice: -1,
			Tasks:            []cluster.TaskStatus{{Task: cluster.TaskID{Job: "j-1", Index: 0}, Attempt: 7, State: cluster.Running}},
		}
		b.loop.Deliver(messages.Reply{Call: push.Call, Body: messages.WorkerReply{Outcome: outcome, Status: status}})
		b.reconciler.Commands.QueuePush(machine)
		takeEffects(b.Controller)
		b.reconciler.Commands.PushQueued()
		if sent := len(b.loop.Effects()) > 0; sent != again {
			t.Errorf("after %v the stop is sent again: %v", outcome, sent)
		}
	}
}
