package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// TestWriteQueuedWhileBatchIsBuilt checks that a write is not lost if another write's
// Build function queues it. A group whose write is lost would never be written again.
func TestWriteQueuedWhileBatchIsBuilt(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0"}, StoreRPS: 100, WriteRPS: 100, MaxValueBytes: 4096, MaxTxnOps: 12, Tuning: DefaultTuning()})
	built := 0
	queuedByBuild := &writequeue.Write{ShardID: cluster.NoShard, Keys: []string{"b"}, Build: func(string) ([]messages.TxnOp, []cluster.ModRevision) {
		built++
		return []messages.TxnOp{{Key: "b", Value: []byte(`{}`)}}, []cluster.ModRevision{0}
	}}
	c.writeQueue.Enqueue(writequeue.PriorityStart, &writequeue.Write{ShardID: cluster.NoShard, Keys: []string{"a"}, Build: func(string) ([]messages.TxnOp, []cluster.ModRevision) {
		c.writeQueue.Enqueue(writequeue.PriorityStart, queuedByBuild)
		return nil, nil // this write has nothing left to store
	}})
	c.writeQueue.Dispatch()
	c.writeQueue.Dispatch()
	if built != 1 {
		t.Errorf("the write queued by the Build function was built %d times, want 1", built)
	}
}
