package controller

import (
	"testing"
	"time"

	"stairrelay/internal/cluster"
)

// TestAcquireBackoffBounded: however often a shard has changed owners or its records
// made no sense, the pauses before a controller acquires it stay, all together, below
// the 75 s after which a job without an answer counts as forgotten.
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
	var corruptPause cluster.Time
	for range 20 {
		shard.Owned = true
		c.ownership.DropCorruptShard(shard, "k", "test")
		corruptPause = max(corruptPause, shard.AcquireNotBefore-c.loop.Now())
	}
	const isolated = 8 * second // a node that hears no other waits this long after its own partition
	if sum := detect + backoff + corruptPause + isolated; backoff == 0 || corruptPause == 0 || sum >= 75*second {
		t.Errorf("detection %v, back-off %v, after corrupt records %v, isolated %v: %v in all",
			time.Duration(detect), time.Duration(backoff), time.Duration(corruptPause), time.Duration(isolated), time.Duration(sum))
	}
}
