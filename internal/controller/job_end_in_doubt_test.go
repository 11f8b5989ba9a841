package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// TestJobEndInDoubtConfirmedBeforeResponse checks that neither users nor peers get an
// older view of a job whose end was stored although the reply to the write was lost.
func TestJobEndInDoubtConfirmedBeforeResponse(t *testing.T) {
	h := newControllerHarness()
	job := h.addTestJob("j-1", 1)
	job.SetCompleted(0)
	h.losesReply = func(messages.StoreTxn) bool { return true }
	h.jobs.Records.WriteJob(job, writequeue.PriorityAdmission)
	h.runFor(60 * millisecond)
	if h.store.get("jobs/j-1").Outcome != messages.OK || job.FinalStatus != "" {
		t.Fatal("the job's end is not stored, or the reply was not lost")
	}
	h.state.Jobs.Known["j-1"].FinalStatus = "" // the watch has not delivered the end yet
	h.jobs.Queries.HandleQuery(messages.Query{Request: 5, ID: "j-1"})
	var views []cluster.JobView
	h.jobs.Queries.HandlePeerQuery([]cluster.JobID{"j-1"}, func(v []cluster.JobView) { views = v })
	h.runFor(300 * millisecond)
	if len(h.sentResponses) != 1 || h.sentResponses[0].View == nil || h.sentResponses[0].View.Status != cluster.JobDone {
		t.Errorf("a user's query is answered with %+v, want done", h.sentResponses)
	}
	for _, v := range views {
		if v.Status != cluster.JobDone {
			t.Errorf("a peer's query is answered with %+v, want done", v)
		}
	}
}
