package core

import "testing"

// TestUnansweredCallOfCancelled: a machine that was just taken over with a task of
// a cancelled job, and leaves its first call unanswered, is returned at once only
// if half of the cancellation's time has passed since this controller learnt of
// it. Else it gets the time that any machine gets which was taken over.
func TestUnansweredCallOfCancelled(t *testing.T) {
	half := newCoreHarness().cfg.CancelWithin / 2
	for _, test := range []struct {
		name       string
		known      Time // since when the cancellation is known
		unanswered Time // since when a call has no answer; 0: none is under way
		returned   bool
	}{
		{"known for long, no answer", half + second, slowCall + 100*milli, true},
		{"known for long, called a moment ago", half + second, slowCall - 100*milli, false},
		{"known for long, not called", half + second, 0, false},
		{"known for a short time, no answer", half - second, slowCall + 100*milli, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newCoreHarness()
			job := b.job("j-1", 1)
			m, listed := b.running(job)
			m.taken, m.acked, listed.phase = true, false, aDoubt
			job.cancelling, listed.stop = true, true
			known := b.jobs.known["j-1"]
			known.final, known.finalAt = StCancelled, b.now-test.known
			m.since = b.now - 2*second // when the part was claimed
			if test.unanswered > 0 {
				m.ordersBusy, m.ordersAt = true, b.now-test.unanswered
			}
			b.machineSweep()
			if m.returning != test.returned {
				t.Errorf("returned %v, want %v", m.returning, test.returned)
			}
		})
	}
}
