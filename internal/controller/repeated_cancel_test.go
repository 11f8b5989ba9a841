package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestRepeatedCancellationOfFinishedJob guards against went_back: a cancellation that reaches
// the owner after the job has ended must not change the job's final status.
func TestRepeatedCancellationOfFinishedJob(t *testing.T) {
	for _, final := range []cluster.JobStatus{cluster.JobDone, cluster.JobCancelled} {
		h := newControllerHarness()
		h.addTestJob("j-1", 1)
		h.state.Jobs.Known["j-1"].FinalStatus = final
		var view *cluster.JobView
		h.jobs.Cancellations.CancelOwned("j-1", func(_ messages.ResponseStatus, answered *cluster.JobView) { view = answered })
		if view == nil || view.Status != final {
			t.Errorf("job %s: answered with %+v", final, view)
		}
		h.runFor(100 * millisecond)
		if _, written := h.store.keys[state.JobKeyPrefix+"j-1"]; written {
			t.Errorf("job %s: its record was written", final)
		}
	}
}
