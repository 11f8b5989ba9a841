package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// TestAcquireResentAfterBatchConflict: a claim shares its transaction with an acceptance
// that is refused, since another controller accepted the job meanwhile. The
// claim has to be sent again as a claim: sent as an ordinary write it was
// dropped, as the part is not held, and the controller counted as claiming for
// ever. Then nobody served the part: its last holder waited for its own claim,
// and the others saw that holder alive.
func TestAcquireResentAfterBatchConflict(t *testing.T) {
	b := newControllerHarness()
	part := b.state.Shards[1]
	part.Owned, part.Ready = false, false
	b.store.keys["jobs/j-1"] = messages.KV{Key: "jobs/j-1", Value: []byte(`{"s":{"tm":"red","n":1},"w":"b1-1"}`), ModRevision: 31}
	b.jobs.Submissions.HandleSubmit(messages.Submit{Request: 1, Spec: cluster.JobSpec{ID: "j-1", Team: "red", Tasks: 1, ResourceRequest: cluster.Resources{CPU: 1_000_000, Memory: 1_000_000}}})
	b.ownership.Acquire(part)
	b.runFor(2 * second)

	if len(b.sentTransactions) == 0 || len(b.sentTransactions[0].Then) != 2 {
		t.Fatal("the claim and the acceptance did not share a transaction")
	}
	if !part.Owned || part.Acquiring {
		t.Errorf("held %v, claiming %v; want the part held", part.Owned, part.Acquiring)
	}
}
