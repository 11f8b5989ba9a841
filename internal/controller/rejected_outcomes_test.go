package controller

import (
	"encoding/json"
	"testing"

	"stairrelay/internal/jobs"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// TestRejectedOutcomesNotResentUnchanged checks that if the store rejects a job's outcomes
// as malformed, no shard is dropped and the record is not sent again unchanged.
func TestRejectedOutcomesNotResentUnchanged(t *testing.T) {
	h := newControllerHarness()
	dropTimers(h.Controller)
	h.rejectLongerValues(2000)
	job := h.addTestJob("j-1", 16_000)
	value, err := json.Marshal(jobs.Record{Spec: &job.Spec, WriteID: "x"})
	if err != nil {
		t.Fatal(err)
	}
	h.store.keys["jobs/j-1"] = messages.KV{Key: "jobs/j-1", Value: value, ModRevision: 20}
	job.ModRevisions[0] = 20
	for i := 0; i < 16_000; i += 3 {
		job.SetCompleted(i)
	}
	h.jobs.Records.WriteJob(job, writequeue.PriorityBackground)
	h.runFor(10 * second)
	for _, shard := range h.state.Shards {
		if !shard.Owned {
			t.Errorf("shard %d was dropped", shard.ID)
		}
	}
	sent := map[int]int{}
	for _, transaction := range h.sentTransactions {
		for _, operation := range transaction.Then {
			if operation.Key == "jobs/j-1" {
				sent[len(operation.Value)]++
			}
		}
	}
	for size, times := range sent {
		if size > 2000 && times > 1 {
			t.Errorf("a value of %d bytes was sent %d times", size, times)
		}
	}
}
