package controller

import (
	"encoding/json"
	"testing"

	"stairrelay/internal/jobs"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// TestRejectedOutcomesNotResentUnchanged shows that no shard is given up when the state
// service calls the record of a job's outcomes malformed, as the limit in force is
// below the one known, and that the record isn't sent again unchanged.
func TestRejectedOutcomesNotResentUnchanged(t *testing.T) {
	b := newControllerHarness()
	dropTimers(b.Controller)
	b.rejectLongerValues(2000)
	j := b.addTestJob("j-1", 16_000)
	v, _ := json.Marshal(jobs.Record{Spec: &j.Spec, WriteID: "x"})
	b.store.keys["jobs/j-1"] = messages.KV{Key: "jobs/j-1", Value: v, ModRevision: 20}
	j.ModRevisions[0] = 20
	for i := 0; i < 16_000; i += 3 {
		j.SetCompleted(i)
	}
	b.jobs.Records.WriteJob(j, writequeue.Background)
	b.runFor(10 * second)
	for _, p := range b.state.Shards {
		if !p.Owned {
			t.Errorf("shard %d was given up", p.ID)
		}
	}
	sent := map[int]int{}
	for _, x := range b.sentTransactions {
		for _, o := range x.Then {
			if o.Key == "jobs/j-1" {
				sent[len(o.Value)]++
			}
		}
	}
	for size, n := range sent {
		if size > 2000 && n > 1 {
			t.Errorf("%d bytes were sent %d times", size, n)
		}
	}
}
