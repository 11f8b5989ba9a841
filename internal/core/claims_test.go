package core

import (
	"testing"
	"time"
)

// TestPauses: however often a part has changed hands or its records made no
// sense, the pauses before somebody claims it stay, all together, below the
// 75 s after which a job without an answer counts as forgotten.
func TestPauses(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []NodeID{"n0", "n1", "n2"}, Lease: 22 * second, ValueBytes: 4096, TxnOps: 12, Tuning: DefaultTuning()})
	p, tune := c.parts[0], c.cfg.Tuning
	detect := tune.PingEvery + tune.ProbeEvery*Time(tune.Probes)
	for i := range tune.Retries {
		detect += tune.RetryFirst << i
	}
	c.now = 100 * second
	for range 50 {
		p.changed(c.now)
	}
	damped := Time(0)
	for !p.settled(c.now + damped) {
		damped += second
	}
	var rest Time
	for range 20 {
		p.held = true
		c.broken(p, "k", "test")
		rest = max(rest, p.restUntil-c.now)
	}
	const alone = 8 * second // lost: a node that hears nobody waits this long after its own cut
	if sum := detect + damped + rest + alone; damped == 0 || rest == 0 || sum >= 75*second {
		t.Errorf("detection %v, damping %v, rest %v, alone %v: %v in all", time.Duration(detect), time.Duration(damped), time.Duration(rest), time.Duration(alone), time.Duration(sum))
	}
}
