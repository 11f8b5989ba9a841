package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
)

// TestQuotaAfterFailover checks that after a failover the tasks in a group's record count
// against the team's quota until the worker has confirmed that they are gone.
func TestQuotaAfterFailover(t *testing.T) {
	for _, acknowledged := range []bool{false, true} {
		h := newControllerHarness()
		shard := h.state.Shards[0]
		h.jobs.Records.Apply(messages.KV{Key: "jobs/j-1", Value: []byte(`{"st":"cancelled","tm":"red","n":2,"r":{"CPU":3000000,"GPU":0,"Mem":1},"w":"b9-1"}`), ModRevision: 20}, shard)
		listed := grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "m-1", Tasks: []grouprecord.Task{{ID: cluster.TaskID{Job: "j-1", Index: 0}, Attempt: 7}}}
		h.inventory.ApplyRecord(messages.KV{Key: "groups/g", Value: grouprecord.Encode(grouprecord.Record{ShardID: 0, Machines: []grouprecord.Machine{listed}, WriteID: "b9-2"}), ModRevision: 25}, shard)
		machine := h.state.Machines["m-1"]
		status := cluster.HeartbeatStatus{Machine: "m-1", Addr: "m-1", Incarnation: 1, SequenceNumber: 5, FencingToken: 12, PreemptionNotice: -1} // sent under an earlier token, without the task
		want := cluster.Amount(3_000_000)
		if acknowledged {
			status.FencingToken, want = machine.Token, 0
		}
		h.reconciler.ApplyStatus(machine, &status, false)
		if usage := shard.UsageByTeam()["red"].CPU; usage != want {
			t.Errorf("acknowledged %v: the team uses %d, want %d", acknowledged, usage, want)
		}
	}
}
