package core

import (
	"slices"
	"testing"
)

// TestLateCopyOfRental: a late copy of the transaction that recorded a rental
// must not bring the record back after its machines are in a group: the next
// holder would repeat it and list them twice (seed 175, a task ran twice).
func TestLateCopyOfRental(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []NodeID{"n0"}, StoreRPS: 100, WriteRPS: 100, ValueBytes: 4096, TxnOps: 12, CloudRPS: 5, Tuning: DefaultTuning()})
	p := c.parts[0]
	p.held, p.ready, p.mark = true, true, 3
	p.rentals, p.refused = map[string]*rental{}, map[rentOption]Time{}
	keys := map[string]Mark{p.key(): 3}
	carryOut := func(f StoreTxn) TxnReply {
		for _, w := range f.When {
			if keys[w.Key] != w.Mark {
				return TxnReply{Out: Conflict, Failed: []string{w.Key}}
			}
		}
		for _, o := range f.Then {
			keys[o.Key] = 7
			if o.Value == nil {
				delete(keys, o.Key)
			}
		}
		return TxnReply{Out: OK, Epoch: 7}
	}
	var first *StoreTxn
	rented := false
	c.startRental(p, rentOption{"small", "a", true}, 2)
	for range 3 {
		c.writer.pump()
		out := c.out
		c.out = nil
		for _, f := range out {
			switch f := f.(type) {
			case StoreTxn:
				if first == nil {
					first = &f
				}
				c.calls[f.Call](carryOut(f))
			case CloudRent:
				rented = true
				c.calls[f.Call](RentReply{Out: OK, IDs: []MachineID{"m-1", "m-2"}})
			}
		}
	}
	if !rented || len(c.groups) != 1 || len(p.rentals) != 0 {
		t.Fatalf("rented %v, %d groups, %d open rentals", rented, len(c.groups), len(p.rentals))
	}
	if r := carryOut(*first); r.Out != Conflict {
		t.Errorf("a late copy of the rental's record was carried out: %v", keys)
	}
}

// TestLateCopyOfRefusedRental: the creation of a rental was carried out twice,
// as far as its writer knows, and the cloud refused it. A late copy must not
// bring the request back (seven controllers, seed 1030).
func TestLateCopyOfRefusedRental(t *testing.T) {
	b := newCoreHarness()
	p := b.parts[0]
	n := 0
	b.lose = func(StoreTxn) bool { n++; return n == 1 }
	b.startRental(p, rentOption{"small", "a", true}, 2)
	var rent *CloudRent
	for range 100 {
		b.runTimers()
		b.writer.pump()
		if i := slices.IndexFunc(b.out, func(f Effect) bool { _, ok := f.(CloudRent); return ok }); i >= 0 {
			f := b.out[i].(CloudRent)
			rent = &f
			break
		}
		b.play(0)
	}
	if rent == nil {
		t.Fatal("nothing was asked of the cloud")
	}
	b.calls[rent.Call](RentReply{Out: Missing})
	b.play(second)
	if len(p.rentals) != 0 || b.store.get("rentals/"+rent.Name).Out != Missing {
		t.Fatalf("the refused request is still there: %v", p.rentals)
	}
	if r := b.store.txn(b.txns[0]); r.Out != Conflict {
		t.Error("a late copy of the refused request was carried out")
	}
}
