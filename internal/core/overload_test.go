package core

import (
	"slices"
	"testing"
	"time"

	"stairrelay/internal/grouprecord"
)

// TestStrained: a process near its share of the processor decides less often,
// refuses what it can't take in time, and sends starts by calls only to
// machines that would else not report for a while.
func TestStrained(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []NodeID{"n0"}, ReportEvery: 5 * second, StoreRPS: 100, WriteRPS: 100, ValueBytes: 4096, TxnOps: 12,
		Teams: []Team{{Name: "red", Limit: Res{CPU: 100_000_000}}}, Tuning: DefaultTuning()})
	p := c.parts[0]
	j := newJob(JobSpec{ID: "j-1", Team: "red", Tasks: 9, Need: Res{CPU: 1_000_000}}, 0, 0, 0)
	c.addJob(j)
	g := c.newGroup(p, "g", 1)
	put := func(m *machine, i int, ph phase) {
		a := &assign{task: TaskID{Job: "j-1", Index: i}, job: j, need: j.spec.Need, mach: m.id, phase: ph}
		m.addAssign(a)
		j.setPlaced(i, a)
	}
	var ms []*machine
	for i, id := range []MachineID{"busy", "idle"} {
		m := c.addMachine(g, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: string(id)}, 5)
		m.acked = true
		put(m, i, aReady)
		ms = append(ms, m)
	}
	put(ms[0], 2, aSeen)
	called := func(l Load) (to []string) {
		for _, m := range ms {
			m.ordersBusy = false
			m.assigns[TaskID{Job: "j-1", Index: slices.Index(ms, m)}].phase = aReady
			c.orderSoon(m)
		}
		c.out, c.process.load = nil, l
		c.pushOrders()
		for _, f := range c.out {
			to = append(to, f.(Orders).Addr)
		}
		return to
	}
	if to := called(Load{Busy: 0.4}); len(to) != 2 {
		t.Errorf("at ease, starts are called to %v", to)
	}
	if to := called(Load{Busy: 0.9}); len(to) != 1 || to[0] != "idle" {
		t.Errorf("strained, starts are called to %v", to)
	}
	if d := c.process.pause(placePause); d <= placePause || d > second {
		t.Errorf("strained, placements are %v apart", time.Duration(d))
	}
	c.process.load = Load{Lag: 2 * second}
	if c.overloaded(BestEffort) == 0 || c.overloaded(Normal) == 0 || c.overloaded(Production) != 0 {
		t.Errorf("2 s behind: refused for %d, %d, %d s", c.overloaded(BestEffort), c.overloaded(Normal), c.overloaded(Production))
	}
}
