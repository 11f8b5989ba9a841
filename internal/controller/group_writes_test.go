package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/grouprecord"
)

// TestWriteQueuedWhileBatchIsBuilt: what a write's building queues at its own priority is
// not lost. A group whose write was lost so stood still for good.
func TestWriteQueuedWhileBatchIsBuilt(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0"}, StoreRPS: 100, WriteRPS: 100, MaxValueBytes: 4096, MaxTxnOps: 12, Tuning: DefaultTuning()})
	built := 0
	second := &writequeue.Write{ShardID: cluster.NoShard, Keys: []string{"b"}, Build: func(string) ([]messages.TxnOp, []cluster.ModRevision) {
		built++
		return []messages.TxnOp{{Key: "b", Value: []byte(`{}`)}}, []cluster.ModRevision{0}
	}}
	c.writeQueue.Enqueue(writequeue.Start, &writequeue.Write{ShardID: cluster.NoShard, Keys: []string{"a"}, Build: func(string) ([]messages.TxnOp, []cluster.ModRevision) {
		c.writeQueue.Enqueue(writequeue.Start, second)
		return nil, nil // no longer wanted
	}})
	c.writeQueue.Dispatch()
	c.writeQueue.Dispatch()
	if built != 1 {
		t.Errorf("the write queued meanwhile was built %d times", built)
	}
}

// TestStaleGroupReadIgnored: a part's reading may be older than another's, held here
// too, taking a machine and joining its group with others. The later write
// counts; there are never two pictures of one machine.
func TestStaleGroupReadIgnored(t *testing.T) {
	for mark, want := range map[cluster.ModRevision]cluster.ShardID{40: 0, 60: 1} {
		c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0", "n1"}, MaxValueBytes: 4096, MaxTxnOps: 12, Tuning: DefaultTuning()})
		for _, p := range c.state.Shards {
			p.Owned, p.ClaimRevision = true, 30
		}
		l := grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "s", Zone: "a"}}
		c.addMachine(c.newGroup(c.state.Shards[0], "joined", 50), l, 50) // taken at revision 50
		c.applyGroupRecord(messages.KV{Key: "groups/old", Value: grouprecord.Encode(grouprecord.Record{ShardID: 1, Machines: []grouprecord.Machine{l}, WriteID: "n"}), ModRevision: mark}, c.state.Shards[1])
		m := c.state.Machines["m-1"]
		if m == nil || m.ShardID != want || len(c.state.Shards[0].Machines)+len(c.state.Shards[1].Machines) != 1 {
			t.Errorf("read at %d: the parts hold %d and %d machines, want one in part %d", mark, len(c.state.Shards[0].Machines), len(c.state.Shards[1].Machines), want)
		}
	}
}
