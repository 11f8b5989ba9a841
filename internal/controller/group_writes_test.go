package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
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
	c.writeQueue.Enqueue(writequeue.PriorityStart, &writequeue.Write{ShardID: cluster.NoShard, Keys: []string{"a"}, Build: func(string) ([]messages.TxnOp, []cluster.ModRevision) {
		c.writeQueue.Enqueue(writequeue.PriorityStart, second)
		return nil, nil // no longer wanted
	}})
	c.writeQueue.Dispatch()
	c.writeQueue.Dispatch()
	if built != 1 {
		t.Errorf("the write queued meanwhile was built %d times", built)
	}
}
