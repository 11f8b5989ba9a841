package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// TestJobEndInDoubtConfirmedBeforeAnswer checks that after the write of a job's end was
// applied and its reply lost, neither users nor peers get the owner's older view of the
// job. Others may have read and reported the end.
func TestJobEndInDoubtConfirmedBeforeAnswer(t *testing.T) {
	b := newControllerHarness()
	job := b.addTestJob("j-1", 1)
	job.SetCompleted(0)
	b.losesReply = func(messages.StoreTxn) bool { return true }
	b.jobs.Records.WriteJob(job, writequeue.PriorityAdmission)
	b.runFor(60 * millisecond)
	if b.store.get("jobs/j-1").Outcome != messages.OK || job.FinalStatus != "" {
		t.Fatal("the job's end is not stored, or the reply was not lost")
	}
	b.state.Jobs.Known["j-1"].FinalStatus = "" // the watch has not delivered the end yet
	b.jobs.Queries.HandleQuery(messages.Query{Request: 5, ID: "j-1"})
	var views []cluster.JobView
	b.jobs.Queries.HandlePeerQuery([]cluster.JobID{"j-1"}, func(v []cluster.JobView) { views = v })
	b.runFor(300 * millisecond)
	if len(b.sentResponses) != 1 || b.sentResponses[0].View == nil || b.sentResponses[0].View.Status != cluster.JobDone {
		t.Errorf("a user's query is answered with %+v, want done", b.sentResponses)
	}
	for _, v := range views {
		if v.Status != cluster.JobDone {
			t.Errorf("a peer's query is answered with %+v, want done", v)
		}
	}
}
