package controller

import (
	"slices"
	"testing"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// TestOnlyStopsBeforeTokenAcknowledged: what is sent to a machine that waits for a higher token, or
// has not acknowledged its own, holds the stops of cancelled tasks and no start.
func TestOnlyStopsBeforeTokenAcknowledged(t *testing.T) {
	for _, x := range []struct {
		name            string
		bumping, acked  bool
		answer, ordered []cluster.CommandKind
	}{
		{"in order", false, true, []cluster.CommandKind{cluster.Stop, cluster.Start}, []cluster.CommandKind{cluster.Stop, cluster.Start}},
		{"bumping", true, true, []cluster.CommandKind{cluster.Stop}, []cluster.CommandKind{cluster.Stop}},
		{"unacknowledged", false, false, []cluster.CommandKind{cluster.Stop, cluster.Start}, []cluster.CommandKind{cluster.Stop}},
	} {
		for _, byAnswer := range []bool{true, false} {
			b := newControllerHarness()
			m, a := b.addRunningMachine(b.addTestJob("j-1", 2))
			other := b.addTestJob("j-2", 1)
			ready := &state.Assignment{Task: cluster.TaskID{Job: "j-2", Index: 0}, Job: other, MachineID: m.ID, Attempt: 8, Phase: state.PhaseReady}
			m.AddAssignment(ready)
			other.SetAssigned(0, ready)
			b.jobs.Cancellations.CancelOwned("j-1", func(messages.ReplyStatus, *cluster.JobView) {})
			m.RaisingToken, m.TokenAcknowledged = x.bumping, x.acked
			var cmds []cluster.Command
			want := x.ordered
			if byAnswer {
				want = x.answer
				m.PendingHeartbeat = 9
				b.reconciler.Heartbeats.Answer(m)
				cmds = b.loop.Effects()[len(b.loop.Effects())-1].(messages.Respond).Heartbeat.Commands
			} else {
				b.reconciler.Commands.PushQueued()
				for _, f := range b.loop.Effects() {
					if o, ok := f.(messages.PushCommands); ok {
						cmds = o.Commands
					}
				}
			}
			var got []cluster.CommandKind
			for _, c := range cmds {
				got = append(got, c.Kind)
			}
			if !slices.Equal(got, want) || !a.StopRequested {
				t.Errorf("%s, in an answer %v: sent %v, want %v", x.name, byAnswer, got, want)
			}
		}
	}
}

// TestUndeliveredStopSentAgain: a stop whose call was not carried out, or has no answer,
// is sent again by the next call; one that arrived is not.
func TestUndeliveredStopSentAgain(t *testing.T) {
	for out, again := range map[messages.Outcome]bool{messages.NotApplied: true, messages.UnknownOutcome: true, messages.OK: false} {
		b := newControllerHarness()
		m, _ := b.addRunningMachine(b.addTestJob("j-1", 1))
		b.jobs.Cancellations.CancelOwned("j-1", func(messages.ReplyStatus, *cluster.JobView) {})
		b.reconciler.Commands.PushQueued()
		o := b.loop.Effects()[len(b.loop.Effects())-1].(messages.PushCommands)
		takeEffects(b.Controller)
		r := cluster.HeartbeatStatus{Machine: m.ID, Addr: m.Address, Incarnation: 1, SequenceNumber: 2, FencingToken: m.Token, PreemptionNotice: -1, Tasks: []cluster.TaskStatus{{Task: cluster.TaskID{Job: "j-1", Index: 0}, Attempt: 7, State: cluster.Running}}}
		b.loop.Deliver(messages.Reply{Call: o.Call, Body: messages.PushCommandsReply{Outcome: out, Status: r}})
		b.reconciler.Commands.QueuePush(m)
		takeEffects(b.Controller)
		b.reconciler.Commands.PushQueued()
		if sent := len(b.loop.Effects()) > 0; sent != again {
			t.Errorf("after %v the stop is sent again: %v", out, sent)
		}
	}
}
