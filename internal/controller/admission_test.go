package controller

import (
	"fmt"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// TestAdmissionInDoubtAnsweredAsRetry checks that a submission is answered with 200, like
// a repeated one, if this or another controller may already have stored its admission.
func TestAdmissionInDoubtAnsweredAsRetry(t *testing.T) {
	for name, want := range map[string]messages.ResponseStatus{"new": 201, "reply lost": 200, "stored by another controller": 200} {
		h := newControllerHarness()
		transactions := 0
		h.losesReply = func(messages.StoreTxn) bool { transactions++; return transactions == 1 && name == "reply lost" }
		if name == "stored by another controller" {
			h.store.revision = 40
			h.store.keys["accepts/b1-1"] = messages.KV{Key: "accepts/b1-1", Value: []byte(`{"j":[{"id":"j-1","s":{"team":"red","tasks":1,"Team":"red","Tasks":1}}],"w":"b1-1"}`), ModRevision: 40}
		}
		h.submit(1, "j-1")
		h.runFor(second)
		if len(h.sentResponses) != 1 || h.sentResponses[0].Status != want || h.sentResponses[0].View == nil {
			t.Errorf("%s: answered %+v, want %d", name, h.sentResponses, want)
		}
	}
}

// TestAdmissionResentAfterBatchConflict checks that a submission is accepted, and none of
// its writes stays queued, if its first transaction conflicts because of another write.
func TestAdmissionResentAfterBatchConflict(t *testing.T) {
	h := newControllerHarness()
	machine, _ := h.addRunningMachine(h.addTestJob("j-9", 1))
	machine.Group.ModRevision = 77 // as if another writer had changed the record
	h.inventory.WriteMachine(machine, writequeue.PriorityStart)
	h.submit(1, "j-1")
	h.runFor(5 * second)
	if len(h.sentTransactions) == 0 || len(h.sentTransactions[0].Then) != 2 {
		t.Fatal("the two writes did not share a transaction")
	}
	if len(h.sentResponses) != 1 || h.sentResponses[0].Status != 201 {
		t.Errorf("answered %+v, want 201", h.sentResponses)
	}
	h.runFor(5 * second)
	if n := len(h.writeQueue.Queued(writequeue.PriorityAdmission)); n != 0 || h.jobs.Submissions.AdmissionKeyCount() > 3 {
		t.Errorf("%d admission writes are queued after %d generated keys, want none queued and at most 3 keys", n, h.jobs.Submissions.AdmissionKeyCount())
	}
}

// TestAdmissionWithUnreadableRecords checks that a job is not reported as new while the
// admission records cannot be read, because another controller may have admitted it.
func TestAdmissionWithUnreadableRecords(t *testing.T) {
	h := newControllerHarness()
	h.store.revision = 40
	h.store.keys["accepts/b1-1"] = messages.KV{Key: "accepts/b1-1", Value: []byte(`{"j":[{"id":"j-1","s":{"Team":"red","Tasks":1}}],"w":"b1-1"}`), ModRevision: 40}
	h.failsListsAndWatches = true
	h.submit(1, "j-1")
	h.runFor(4 * second)
	for _, response := range h.sentResponses {
		if response.Status == 201 {
			t.Errorf("answered %+v while the admission records cannot be read", response)
		}
	}
}

// TestDuplicateSubmissionInOneRecord checks that two submissions of a job before it is
// stored get 201 and 200, and that no transaction compares a key twice.
func TestDuplicateSubmissionInOneRecord(t *testing.T) {
	h := newControllerHarness()
	for i := range messages.RequestID(2) {
		h.submit(1+i, "j-1")
	}
	h.runFor(second)
	counts := map[messages.ResponseStatus]int{}
	for _, response := range h.sentResponses {
		counts[response.Status]++
	}
	if counts[201] != 1 || counts[200] != 1 {
		t.Errorf("answered %v, want one 201 and one 200", counts)
	}
	for _, transaction := range h.sentTransactions {
		keys := map[string]bool{}
		for _, condition := range transaction.If {
			if keys[condition.Key] {
				t.Errorf("a transaction compares %s twice", condition.Key)
			}
			keys[condition.Key] = true
		}
	}
}

// TestComparesOfBurstWithinLimit checks that the transactions that store a burst of
// submissions have at most four compares per allowed operation, as the protocol requires.
func TestComparesOfBurstWithinLimit(t *testing.T) {
	h := newControllerHarness()
	h.runFor(second)
	// No write is dispatched between the submissions, as if the store were slow.
	for i := range messages.RequestID(60) {
		h.submit(1+i, cluster.JobID(fmt.Sprintf("j-%03d", i)))
	}
	h.runFor(second)
	for _, transaction := range h.sentTransactions {
		if len(transaction.If) > 4*h.config.MaxTxnOps {
			t.Errorf("a transaction of %d operations has %d compares", len(transaction.Then), len(transaction.If))
		}
	}
	for _, response := range h.sentResponses {
		if response.Status != 201 {
			t.Errorf("answered %+v, want 201", response)
		}
	}
}

// submit submits a job with one small task for team red.
func (h *controllerHarness) submit(request messages.RequestID, id cluster.JobID) {
	spec := cluster.JobSpec{ID: id, Team: "red", Tasks: 1, ResourceRequest: cluster.Resources{CPU: 1_000_000, Memory: 1_000_000}}
	h.jobs.Submissions.HandleSubmit(messages.Submit{Request: request, Spec: spec})
}
