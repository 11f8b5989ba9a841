package reconcile

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// TestHungMachineReleasedAfterFailover checks that a delayed heartbeat that arrives after
// a failover does not keep a hung machine with cancelled tasks from being released.
func TestHungMachineReleasedAfterFailover(t *testing.T) {
	for _, test := range []struct {
		name                              string
		cancelled, acknowledges, released bool
	}{
		{"cancelled, token not acknowledged", true, false, true},
		{"cancelled, token acknowledged", true, true, false},
		{"not cancelled", false, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			job := h.addJob()
			machine, assignment := h.addRunningMachine(job)
			machine.Incarnation, machine.SequenceNumber, machine.TokenAcknowledged, machine.AwaitingFirstAcknowledgement = 0, 0, false, true
			assignment.Phase = state.PhaseUnverified
			job.Cancelling, assignment.StopRequested = test.cancelled, test.cancelled
			h.setTime(h.loop.Now() + second)
			status := cluster.HeartbeatStatus{
				Machine: machine.ID, Addr: "m-1", Incarnation: 1, SequenceNumber: 5, FencingToken: 12, PreemptionNotice: -1,
				Tasks: []cluster.TaskStatus{{Task: assignment.Task, Attempt: assignment.Attempt, State: cluster.Running}},
			}
			if test.acknowledges {
				status.FencingToken = machine.Token
			}
			h.ApplyStatus(machine, &status, false)
			h.setTime(h.loop.Now() + h.Maintenance.firstAcknowledgementTimeout() + second)
			h.Maintenance.Run()
			if machine.Releasing != test.released {
				t.Errorf("released: %v, want %v", machine.Releasing, test.released)
			}
		})
	}
}

// TestStopsPushedToMachinesWithCancelledTasks checks that stops of cancelled tasks are
// pushed even if the machine sends no heartbeats or its token is still being raised.
func TestStopsPushedToMachinesWithCancelledTasks(t *testing.T) {
	for name, silent := range map[string]bool{"no heartbeats": true, "token being raised": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			machine, running := h.addRunningMachine(h.addJob())
			running.StopRequested = true
			running.Job.Cancelling = true
			if silent {
				machine.LastHeartbeat = h.loop.Now() - 2*h.config.HeartbeatInterval - second
			} else {
				machine.RaisingToken, machine.TokenAcknowledged = true, false
			}
			h.Maintenance.pushCommands(h.state.Shards[0].Machines)
			var got []cluster.Command
			for _, push := range h.pushes() {
				if push.Addr == machine.Address {
					got = append(got, push.Commands...)
				}
			}
			if len(got) != 1 || got[0].Kind != cluster.Stop {
				t.Errorf("pushed %+v, want one stop", got)
			}
		})
	}
}
