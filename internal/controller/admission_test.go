package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// TestAdmissionInDoubtAnsweredAsRetry: an acceptance whose answer was lost, or that another
// controller stored a moment ago in a record of several, is answered as a
// repeat: others may have told more of the job since.
func TestAdmissionInDoubtAnsweredAsRetry(t *testing.T) {
	for name, want := range map[string]messages.ReplyStatus{"new": 201, "answer lost": 200, "stored by another": 200} {
		b := newControllerHarness()
		n := 0
		b.losesReply = func(messages.StoreTxn) bool { n++; return n == 1 && name == "answer lost" }
		if name == "stored by another" {
			b.store.revision = 40
			b.store.keys["accepts/b1-1"] = messages.KV{Key: "accepts/b1-1", Value: []byte(`{"j":[{"id":"j-1","s":{"team":"red","tasks":1,"Team":"red","Tasks":1}}],"w":"b1-1"}`), ModRevision: 40}
		}
		b.jobs.Submissions.HandleSubmit(messages.Submit{Request: 1, Spec: cluster.JobSpec{ID: "j-1", Team: "red", Tasks: 1, ResourceRequest: cluster.Resources{CPU: 1_000_000, Memory: 1_000_000}}})
		b.runFor(second)
		if len(b.sentResponses) != 1 || b.sentResponses[0].Status != want || b.sentResponses[0].View == nil {
			t.Errorf("%s: answered %+v, want %d", name, b.sentResponses, want)
		}
	}
}
