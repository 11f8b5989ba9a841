package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/grouprecord"
)

// TestQuotaAfterFailover: what a group's record lists counts against the team's
// limit after a take-over, a cancelled job's tasks too, until it is proven gone.
func TestQuotaAfterFailover(t *testing.T) {
	for _, acked := range []bool{false, true} {
		b := newControllerHarness()
		p := b.state.Shards[0]
		b.jobs.Records.Apply(messages.KV{Key: "jobs/j-1", Value: []byte(`{"st":"cancelled","tm":"red","n":2,"r":{"CPU":3000000,"GPU":0,"Mem":1},"w":"b9-1"}`), ModRevision: 20}, p)
		l := grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "m-1", Tasks: []grouprecord.Task{{ID: cluster.TaskID{Job: "j-1", Index: 0}, Attempt: 7}}}
		b.inventory.ApplyRecord(messages.KV{Key: "groups/g", Value: grouprecord.Encode(grouprecord.Record{ShardID: 0, Machines: []grouprecord.Machine{l}, WriteID: "b9-2"}), ModRevision: 25}, p)
		m := b.state.Machines["m-1"]
		r := cluster.HeartbeatStatus{Machine: "m-1", Addr: "m-1", Incarnation: 1, SequenceNumber: 5, FencingToken: 12, PreemptionNotice: -1} // an old one, without the task
		want := cluster.Amount(3_000_000)
		if acked {
			r.FencingToken, want = m.Token, 0
		}
		b.reconciler.ApplyStatus(m, &r, false)
		if use := p.UsageByTeam()["red"].CPU; use != want {
			t.Errorf("acknowledged %v: the team uses %d, want %d", acked, use, want)
		}
	}
}
