package controller

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/grouprecord"
)

// TestLateGroupWriteAfterDropRejected: a group that one part made and another took and
// emptied is dropped by the other's next claim, which fences no copy of its
// creation: that one is guarded by the claim of the part that made it.
func TestLateGroupWriteAfterDropRejected(t *testing.T) {
	b := newControllerHarness()
	p, q := b.state.Shards[0], b.state.Shards[1]
	b.inventory.RegisterMachines(p, []grouprecord.Machine{{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "m-1"}}, func() {})
	b.runFor(100 * millisecond)
	if len(b.sentTransactions) == 0 || len(b.state.Groups) != 1 {
		t.Fatalf("%d transactions, %d groups", len(b.sentTransactions), len(b.state.Groups))
	}
	first := b.sentTransactions[0]
	key := first.Then[0].Key
	g := b.state.Groups[slices.Sorted(maps.Keys(b.state.Groups))[0]]
	g.Offer = &state.GroupOffer{ToShard: q.ID, Until: b.loop.Now() + 5*second}
	b.inventory.AcquireGroup(q, key, g.ModRevision)
	b.runFor(100 * millisecond)
	m := b.state.Machines["m-1"]
	if m == nil || m.ShardID != q.ID {
		t.Fatal("the group was not taken")
	}
	b.provisioner.ScaleIn.HandleTerminated(m)
	b.runFor(200 * millisecond)
	if kv := b.store.get(key); kv.Outcome != messages.OK || b.state.Machines["m-1"] != nil {
		t.Fatalf("the emptied group: %v", kv)
	}
	// The other part's next claim.
	b.store.revision++
	q.ClaimRevision, q.ModRevision = b.store.revision, cluster.ModRevision(b.store.revision)
	b.store.keys[q.Key()] = messages.KV{Key: q.Key(), Value: []byte(`{"holder":"n0","term":2,"w":"b0-9"}`), ModRevision: q.ModRevision}
	b.inventory.ApplyRecord(b.store.get(key).KV, q)
	b.runFor(second)
	if r := b.store.commit(first); r.Outcome != messages.Conflict {
		t.Errorf("a late copy of the group's creation is carried out: %s is there again", key)
	}
}

// TestAdmissionResentAfterBatchConflict: a transaction is refused because of another
// write in it. The submissions that it took along are stored by the next.
func TestAdmissionResentAfterBatchConflict(t *testing.T) {
	b := newControllerHarness()
	m, _ := b.addRunningMachine(b.addTestJob("j-9", 1))
	m.Group.ModRevision = 77 // another writer was there
	b.inventory.WriteMachine(m, writequeue.Start)
	b.jobs.Submissions.HandleSubmit(messages.Submit{Request: 1, Spec: cluster.JobSpec{ID: "j-1", Team: "red", Tasks: 1, ResourceRequest: cluster.Resources{CPU: 1_000_000, Memory: 1_000_000}}})
	b.runFor(5 * second)
	if len(b.sentTransactions) == 0 || len(b.sentTransactions[0].Then) != 2 {
		t.Fatal("the two writes did not share a transaction")
	}
	if len(b.sentResponses) != 1 || b.sentResponses[0].Status != 201 {
		t.Errorf("answered %+v, want 201", b.sentResponses)
	}
	b.runFor(5 * second)
	if n := len(b.writeQueue.Queued(writequeue.Admit)); n != 0 || b.jobs.Submissions.AdmissionKeyCount() > 3 {
		t.Errorf("nothing waits to be accepted, but %d writes are queued, after %d", n, b.jobs.Submissions.AdmissionKeyCount())
	}
}

// TestAdmissionWithUnreadableRecords: whether another controller accepted the job before can't
// be read. Then it is not called new.
func TestAdmissionWithUnreadableRecords(t *testing.T) {
	b := newControllerHarness()
	b.store.revision = 40
	b.store.keys["accepts/b1-1"] = messages.KV{Key: "accepts/b1-1", Value: []byte(`{"j":[{"id":"j-1","s":{"Team":"red","Tasks":1}}],"w":"b1-1"}`), ModRevision: 40}
	b.failsReads = true
	b.jobs.Submissions.HandleSubmit(messages.Submit{Request: 1, Spec: cluster.JobSpec{ID: "j-1", Team: "red", Tasks: 1, ResourceRequest: cluster.Resources{CPU: 1_000_000, Memory: 1_000_000}}})
	b.runFor(4 * second)
	for _, r := range b.sentResponses {
		if r.Status == 201 {
			t.Errorf("answered %+v", r)
		}
	}
}

// TestDuplicateSubmissionInOneRecord: the same submission comes in twice before either is
// written. It is stored once, and one of the two is answered as a repeat.
func TestDuplicateSubmissionInOneRecord(t *testing.T) {
	b := newControllerHarness()
	for i := range messages.RequestID(2) {
		b.jobs.Submissions.HandleSubmit(messages.Submit{Request: 1 + i, Spec: cluster.JobSpec{ID: "j-1", Team: "red", Tasks: 1, ResourceRequest: cluster.Resources{CPU: 1_000_000, Memory: 1_000_000}}})
	}
	b.runFor(second)
	n := map[messages.ReplyStatus]int{}
	for _, r := range b.sentResponses {
		n[r.Status]++
	}
	if n[201] != 1 || n[200] != 1 {
		t.Errorf("answered %v, want one 201 and one 200", n)
	}
	for _, f := range b.sentTransactions {
		keys := map[string]bool{}
		for _, w := range f.If {
			if keys[w.Key] {
				t.Errorf("a transaction has two conditions on %s", w.Key)
			}
			keys[w.Key] = true
		}
	}
}

// TestComparesOfBurstWithinLimit: submissions that pile up while the store is slow go out
// in transactions that the store takes: conditions are limited to four times
// the puts.
func TestComparesOfBurstWithinLimit(t *testing.T) {
	b := newControllerHarness()
	b.runFor(second)
	// Nothing is dispatched meanwhile, as while the store is slow.
	for i := range messages.RequestID(60) {
		b.jobs.Submissions.HandleSubmit(messages.Submit{Request: 1 + i, Spec: cluster.JobSpec{ID: cluster.JobID(fmt.Sprintf("j-%03d", i)), Team: "red", Tasks: 1, ResourceRequest: cluster.Resources{CPU: 1_000_000, Memory: 1_000_000}}})
	}
	b.runFor(second)
	for _, f := range b.sentTransactions {
		if len(f.If) > 4*b.config.MaxTxnOps {
			t.Errorf("a transaction of %d puts has %d conditions", len(f.Then), len(f.If))
		}
	}
	for _, r := range b.sentResponses {
		if r.Status != 201 {
			t.Errorf("answered %+v", r)
		}
	}
}
