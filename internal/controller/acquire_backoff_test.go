package controller

import (
	"testing"
	"time"

	"stairrelay/internal/cluster"
)

// TestAcquireBackoffBounded: however often a part has changed hands or its records made no
// sense, the pauses before somebody claims it stay, all together, below the
// 75 s after which a job without an answer counts as forgotten.
func TestAcquireBackoffBounded(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0", "n1", "n2"}, WorkerLease: 22 * second, MaxValueBytes: 4096, MaxTxnOps: 12, Tuning: DefaultTuning()})
	p, tune := c.state.Shards[0], c.config.Tuning
	detect := tune.PingInterval + tune.ProbeInterval*cluster.Time(tune.ProbeCount)
	for i := range tune.PingRetries {
		detect += tune.InitialRetryTimeout << i
	}
	setTime(c, 100*second)
	for range 50 {
		p.RecordOwnerChange(c.loop.Now())
	}
	damped := cluster.Time(0)
	for !p.IsBackoffOver(c.loop.Now() + damped) {
		damped += second
	}
	var rest cluster.Time
	for range 20 {
		p.Owned = true
		c.ownership.GiveUpCorrupt(p, "k", "test")
		rest = max(rest, p.AcquireNotBefore-c.loop.Now())
	}
	const alone = 8 * second // lost: a node that hears nobody waits this long after its own cut
	if sum := detect + damped + rest + alone; damped == 0 || rest == 0 || sum >= 75*second {
		t.Errorf("detection %v, damping %v, rest %v, alone %v: %v in all", time.Duration(detect), time.Duration(damped), time.Duration(rest), time.Duration(alone), time.Duration(sum))
	}
}
