package core

import (
	"testing"

	"stairrelay/internal/grouprecord"
)

// TestUnlistedAndSilent: a machine that is silent and gone from the cloud's
// list is returned without waiting for its lease; one that only is silent, or
// only is missing from a list that may be old, is not.
func TestUnlistedAndSilent(t *testing.T) {
	for _, x := range []struct {
		listed, silent, returned bool
	}{{false, true, true}, {true, true, false}, {false, false, false}} {
		c := New(Config{Self: "n0", Nodes: []NodeID{"n0"}, ReportEvery: 2 * second, Lease: 14 * second, StoreRPS: 100, WriteRPS: 100, ValueBytes: 4096, TxnOps: 12,
			CloudRPS: 4, ListLag: 8 * second, Teams: []Team{{Name: "red", Limit: Res{CPU: NoLimit}}}, Tuning: DefaultTuning()})
		c.Step(0, 0, Tick{})
		p := c.parts[0]
		p.held, p.ready = true, true
		g := c.newGroup(p, "g", 1)
		m := c.addMachine(g, grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}}, 5)
		for c.now < 8*second {
			c.workerContact.lastReport = c.now
			if !x.silent {
				m.heard = c.now
			}
			for _, f := range c.Step(c.now+second/4, 0, Tick{}) {
				if f, ok := f.(CloudList); ok {
					r := CloudListReply{Out: OK}
					if x.listed {
						r.Items = []Listed{{ID: "m-1", Status: "running", AgeS: 100}}
					}
					c.calls[f.Call](r)
				}
			}
		}
		if m.returning != x.returned {
			t.Errorf("listed %v, silent %v: returned %v", x.listed, x.silent, m.returning)
		}
	}
}

// TestTakenMachineHangs: after a take-over an old copy of a report arrives from
// a machine with cancelled tasks. It proves no life: unless the machine
// acknowledges its token soon, it is returned; one without such tasks is not.
func TestTakenMachineHangs(t *testing.T) {
	for _, x := range []struct{ cancelled, acks, returned bool }{{true, false, true}, {true, true, false}, {false, false, false}} {
		b := newCoreHarness()
		j := b.job("j-1", 1)
		m, a := b.running(j)
		m.session, m.stamp, m.acked, m.taken, a.phase = 0, 0, false, true, aDoubt
		if j.cancelling = x.cancelled; x.cancelled {
			a.stop = true
		}
		b.now += second
		r := Report{Machine: "m-1", Addr: "m-1", Session: 1, Stamp: 5, Token: 12, Notice: -1, Tasks: []TaskReport{{Task: TaskID{Job: "j-1", Index: 0}, Attempt: 7, State: Running}}}
		if x.acks {
			r.Token = m.token
		}
		b.reconcile(m, &r, false)
		b.now += b.takenPatience() + second
		b.machineSweep()
		if m.returning != x.returned {
			t.Errorf("cancelled %v, acknowledged %v: returned %v", x.cancelled, x.acks, m.returning)
		}
	}
}

// TestCancelledCalledFirst: machines with cancelled tasks that are silent, or
// wait for a higher token that an outage keeps from being stored, are called
// with the stops, before all others.
func TestCancelledCalledFirst(t *testing.T) {
	for name, silent := range map[string]bool{"silent": true, "bumping": false} {
		b := newCoreHarness()
		m, a := b.running(b.job("j-1", 1))
		a.stop = true
		a.job.cancelling = true
		if m.heard = b.now; silent {
			m.heard -= 2*b.cfg.ReportEvery + second
		} else {
			m.bumping, m.acked = true, false
		}
		b.callMachines(b.parts[0].machines)
		var got []Command
		for _, f := range b.out {
			if o, ok := f.(Orders); ok && o.Addr == m.addr {
				got = append(got, o.Commands...)
			}
		}
		if len(got) != 1 || got[0].Verb != Stop {
			t.Errorf("%s: called with %+v", name, got)
		}
	}
}
