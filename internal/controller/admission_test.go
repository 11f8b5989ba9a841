package controller

import (
	"fmt"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// TestAdmissionInDoubtAnsweredAsRetry checks that an admission is answered as a retry
// if the reply to its write was lost, or if another controller has just stored the job
// in a record of several jobs. Other controllers may have reported a later state of the
// job by then.
func TestAdmissionInDoubtAnsweredAsRetry(t *testing.T) {
	for name, want := range map[string]messages.ResponseStatus{"new": 201, "reply lost": 200, "stored by another controller": 200} {
		b := newControllerHarness()
		transactions := 0
		b.losesReply = func(messages.StoreTxn) bool { transactions++; return transactions == 1 && name == "reply lost" }
		if name == "stored by another controller" {
			b.store.revision = 40
			b.store.keys["accepts/b1-1"] = messages.KV{Key: "accepts/b1-1", Value: []byte(`{"j":[{"id":"j-1","s":{"team":"red","tasks":1,"Team":"red","Tasks":1}}],"w":"b1-1"}`), ModRevision: 40}
		}
		b.submit(1, "j-1")
		b.runFor(second)
		if len(b.sentResponses) != 1 || b.sentResponses[0].Status != want || b.sentResponses[0].View == nil {
			t.Errorf("%s: answered %+v, want %d", name, b.sentResponses, want)
		}
	}
}

// TestAdmissionResentAfterBatchConflict checks that submissions are stored by a later
// transaction if theirs conflicts on another write.
func TestAdmissionResentAfterBatchConflict(t *testing.T) {
	b := newControllerHarness()
	machine, _ := b.addRunningMachine(b.addTestJob("j-9", 1))
	machine.Group.ModRevision = 77 // as if another writer had changed the record
	b.inventory.WriteMachine(machine, writequeue.PriorityStart)
	b.submit(1, "j-1")
	b.runFor(5 * second)
	if len(b.sentTransactions) == 0 || len(b.sentTransactions[0].Then) != 2 {
		t.Fatal("the two writes did not share a transaction")
	}
	if len(b.sentResponses) != 1 || b.sentResponses[0].Status != 201 {
		t.Errorf("answered %+v, want 201", b.sentResponses)
	}
	b.runFor(5 * second)
	if n := len(b.writeQueue.Queued(writequeue.PriorityAdmission)); n != 0 || b.jobs.Submissions.AdmissionKeyCount() > 3 {
		t.Errorf("%d admission writes are queued after %d generated keys, want none queued and at most 3 keys", n, b.jobs.Submissions.AdmissionKeyCount())
	}
}

// TestAdmissionWithUnreadableRecords checks that a job is not reported as new while the
// admission records cannot be read: another controller may have admitted it before.
func TestAdmissionWithUnreadableRecords(t *testing.T) {
	b := newControllerHarness()
	b.store.revision = 40
	b.store.keys["accepts/b1-1"] = messages.KV{Key: "accepts/b1-1", Value: []byte(`{"j":[{"id":"j-1","s":{"Team":"red","Tasks":1}}],"w":"b1-1"}`), ModRevision: 40}
	b.failsReads = true
	b.submit(1, "j-1")
	b.runFor(4 * second)
	for _, response := range b.sentResponses {
		if response.Status == 201 {
			t.Errorf("answered %+v while the admission records cannot be read", response)
		}
	}
}

// TestDuplicateSubmissionInOneRecord checks that a job submitted twice before either
// submission is written is stored once, and that one of the two is answered as a retry.
func TestDuplicateSubmissionInOneRecord(t *testing.T) {
	b := newControllerHarness()
	for i := range messages.RequestID(2) {
		b.submit(1+i, "j-1")
	}
	b.runFor(second)
	counts := map[messages.ResponseStatus]int{}
	for _, response := range b.sentResponses {
		counts[response.Status]++
	}
	if counts[201] != 1 || counts[200] != 1 {
		t.Errorf("answered %v, want one 201 and one 200", counts)
	}
	for _, transaction := range b.sentTransactions {
		keys := map[string]bool{}
		for _, condition := range transaction.If {
			if keys[condition.Key] {
				t.Errorf("a transaction compares %s twice", condition.Key)
			}
			keys[condition.Key] = true
		}
	}
}

// TestComparesOfBurstWithinLimit checks that submissions that pile up while the state
// service is slow are written in transactions with at most four compares per allowed
// operation, as the protocol requires.
func TestComparesOfBurstWithinLimit(t *testing.T) {
	b := newControllerHarness()
	b.runFor(second)
	// No write is dispatched in between, as if the state service were slow.
	for i := range messages.RequestID(60) {
		b.submit(1+i, cluster.JobID(fmt.Sprintf("j-%03d", i)))
	}
	b.runFor(second)
	for _, transaction := range b.sentTransactions {
		if len(transaction.If) > 4*b.config.MaxTxnOps {
			t.Errorf("a transaction of %d operations has %d compares", len(transaction.Then), len(transaction.If))
		}
	}
	for _, response := range b.sentResponses {
		if response.Status != 201 {
			t.Errorf("answered %+v, want 201", response)
		}
	}
}

// submit submits a job with one small task for team red.
func (b *controllerHarness) submit(request messages.RequestID, id cluster.JobID) {
	spec := cluster.JobSpec{ID: id, Team: "red", Tasks: 1, ResourceRequest: cluster.Resources{CPU: 1_000_000, Memory: 1_000_000}}
	b.jobs.Submissions.HandleSubmit(messages.Submit{Request: request, Spec: spec})
}
