package reconcile

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// TestUnansweredPushWithCancelledTasks checks that an acquired machine with a cancelled
// task is released for an unanswered push only after half of the cancellation deadline.
func TestUnansweredPushWithCancelledTasks(t *testing.T) {
	half := newHarness(t).config.CancelDeadline / 2
	for _, test := range []struct {
		name       string
		knownFor   cluster.Time // time since the controller learned of the cancellation
		unanswered cluster.Time // time since the push; 0 if none is in flight
		released   bool
	}{
		{"known for long, no reply", half + second, unansweredPushTimeout + 100*millisecond, true},
		{"known for long, just pushed", half + second, unansweredPushTimeout - 100*millisecond, false},
		{"known for long, no push", half + second, 0, false},
		{"known for a short time, no reply", half - second, unansweredPushTimeout + 100*millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			job := h.addJob()
			machine, assignment := h.addRunningMachine(job)
			machine.AwaitingFirstAcknowledgement, machine.TokenAcknowledged, assignment.Phase = true, false, state.PhaseUnverified
			job.Cancelling, assignment.StopRequested = true, true
			known := h.state.Jobs.Known["j-1"]
			known.FinalStatus, known.FinalSince = cluster.JobCancelled, h.loop.Now()-test.knownFor
			machine.OwnedSince = h.loop.Now() - 2*second // when the shard was acquired
			if test.unanswered > 0 {
				machine.PushInFlight, machine.LastPushAt = true, h.loop.Now()-test.unanswered
			}
			h.Maintenance.Run()
			if machine.Releasing != test.released {
				t.Errorf("released: %v, want %v", machine.Releasing, test.released)
			}
		})
	}
}
