package core

import (
	"testing"
)

// TestRepeatedAcceptance: an acceptance whose answer was lost, or that another
// controller stored a moment ago in a record of several, is answered as a
// repeat: others may have told more of the job since.
func TestAdmissionInDoubtAnsweredAsRetry(t *testing.T) {
	for name, want := range map[string]ReplyStatus{"new": 201, "answer lost": 200, "stored by another": 200} {
		b := newControllerHarness()
		n := 0
		b.losesReply = func(StoreTxn) bool { n++; return n == 1 && name == "answer lost" }
		if name == "stored by another" {
			b.store.revision = 40
			b.store.keys["accepts/b1-1"] = KV{"accepts/b1-1", []byte(`{"j":[{"id":"j-1","s":{"team":"red","tasks":1,"Team":"red","Tasks":1}}],"w":"b1-1"}`), 40}
		}
		b.handleSubmit(Submit{Request: 1, Spec: JobSpec{ID: "j-1", Team: "red", Tasks: 1, ResourceRequest: Resources{CPU: 1_000_000, Memory: 1_000_000}}})
		b.runFor(second)
		if len(b.sentResponses) != 1 || b.sentResponses[0].Status != want || b.sentResponses[0].View == nil {
			t.Errorf("%s: answered %+v, want %d", name, b.sentResponses, want)
		}
	}
}
