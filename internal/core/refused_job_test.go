package core

import (
	"encoding/json"
	"testing"
)

// TestOutcomesRefused: the store calls the record of a job's outcomes malformed,
// as the limit in force is below the one known. No part is given up for it, and
// it isn't sent again unchanged.
func TestOutcomesRefused(t *testing.T) {
	b := newCoreHarness()
	b.timers = timerQueue{}
	b.refuseLonger(2000)
	j := b.job("j-1", 16_000)
	v, _ := json.Marshal(jobRecord{Spec: &j.spec, W: "x"})
	b.store.keys["jobs/j-1"] = KV{"jobs/j-1", v, 20}
	j.marks[0] = 20
	for i := 0; i < 16_000; i += 3 {
		j.setDone(i)
	}
	b.writeJob(j, prioLazy)
	b.play(10 * second)
	for _, p := range b.parts {
		if !p.held {
			t.Errorf("part %d was given up", p.id)
		}
	}
	sent := map[int]int{}
	for _, x := range b.txns {
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
