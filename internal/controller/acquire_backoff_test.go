package controller

import (
	"testing"
	"time"

	"stairrelay/internal/cluster"
)

// TestAcquireBackoffBounded checks that the delays before an acquisition add up to less
// than 75 s, the longest time for which the simulator tolerates failing queries.
func TestAcquireBackoffBounded(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0", "n1", "n2"}, WorkerLease: 22 * second, MaxValueBytes: 4096, MaxTxnOps: 12, Tuning: DefaultTuning()})
	shard, tuning := c.state.Shards[0], c.config.Tuning
	detect := tuning.PingInterval + tuning.ProbeInterval*cluster.Time(tuning.ProbeCount)
	for retry := range tuning.PingRetries {
		detect += tuning.InitialRetryTimeout << retry
	}
	setTime(c, 100*second)
	for range 50 {
		shard.RecordOwnerChange(c.loop.Now())
	}
	backoff := cluster.Time(0)
	for !shard.IsBackoffOver(c.loop.Now() + backoff) {
		backoff += second
	}
	var corruptBackoff cluster.Time
	for range 20 {
		shard.Owned = true
		c.ownership.DropCorruptShard(shard, "k", "test")
		corruptBackoff = max(corruptBackoff, shard.AcquireNotBefore-c.loop.Now())
	}
	const isolatedStoreHealthyTime = 8 * second // the store must be available for this long before a controller that reaches no peer may consider a peer failed
	if sum := detect + backoff + corruptBackoff + isolatedStoreHealthyTime; backoff == 0 || corruptBackoff == 0 || sum >= 75*second {
		t.Errorf("failure detection %v, backoff %v, delay after corrupt records %v, store healthy time while isolated %v: %v in total; want a backoff and a delay above 0, and a total below 75s",
			time.Duration(detect), time.Duration(backoff), time.Duration(corruptBackoff), time.Duration(isolatedStoreHealthyTime), time.Duration(sum))
	}
}
