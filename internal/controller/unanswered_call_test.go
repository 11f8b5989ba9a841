package controller

import (
	"testing"

	"stairrelay/internal/reconcile"
	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
)

// TestUnansweredCallWithCancelledTasks: a machine that was just taken over with a task of
// a cancelled job, and leaves its first call unanswered, is returned at once only
// if half of the cancellation's time has passed since this controller learnt of
// it. Else it gets the time that any machine gets which was taken over.
func TestUnansweredCallWithCancelledTasks(t *testing.T) {
	half := newControllerHarness().config.CancelDeadline / 2
	for _, test := range []struct {
		name       string
		known      cluster.Time // since when the cancellation is known
		unanswered cluster.Time // since when a call has no answer; 0: none is under way
		returned   bool
	}{
		{"known for long, no answer", half + second, reconcile.SlowPushThreshold + 100*millisecond, true},
		{"known for long, called a moment ago", half + second, reconcile.SlowPushThreshold - 100*millisecond, false},
		{"known for long, not called", half + second, 0, false},
		{"known for a short time, no answer", half - second, reconcile.SlowPushThreshold + 100*millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newControllerHarness()
			job := b.addTestJob("j-1", 1)
			m, listed := b.addRunningMachine(job)
			m.AwaitingFirstAcknowledgement, m.TokenAcknowledged, listed.Phase = true, false, state.PhaseUnverified
			job.Cancelling, listed.StopRequested = true, true
			known := b.state.Jobs.Known["j-1"]
			known.FinalStatus, known.FinalSince = cluster.JobCancelled, b.loop.Now()-test.known
			m.OwnedSince = b.loop.Now() - 2*second // when the part was claimed
			if test.unanswered > 0 {
				m.PushInFlight, m.LastPushAt = true, b.loop.Now()-test.unanswered
			}
			b.reconciler.Maintenance.Run()
			if m.Releasing != test.returned {
				t.Errorf("returned %v, want %v", m.Releasing, test.returned)
			}
		})
	}
}
