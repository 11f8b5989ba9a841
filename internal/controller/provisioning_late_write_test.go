package controller

import (
	"slices"
	"testing"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// TestLateProvisioningWriteRejected: a late copy of the transaction that recorded a rental
// must not bring the record back after its machines are in a group: the next
// holder would repeat it and list them twice (seed 175, a task ran twice).
func TestLateProvisioningWriteRejected(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0"}, StoreRPS: 100, WriteRPS: 100, MaxValueBytes: 4096, MaxTxnOps: 12, CloudRPS: 5, Tuning: DefaultTuning()})
	p := c.state.Shards[0]
	p.Owned, p.Ready, p.ModRevision = true, true, 3
	p.ProvisioningRequests, p.OutOfCapacityUntil = map[string]*state.ProvisioningRequest{}, map[state.ProvisioningOption]cluster.Time{}
	keys := map[string]cluster.ModRevision{p.Key(): 3}
	carryOut := func(f messages.StoreTxn) messages.TxnReply {
		for _, w := range f.If {
			if keys[w.Key] != w.ModRevision {
				return messages.TxnReply{Outcome: messages.Conflict, FailedKeys: []string{w.Key}}
			}
		}
		for _, o := range f.Then {
			keys[o.Key] = 7
			if o.Value == nil {
				delete(keys, o.Key)
			}
		}
		return messages.TxnReply{Outcome: messages.OK, Revision: 7}
	}
	var first *messages.StoreTxn
	rented := false
	c.provisioner.Requests.Create(p, state.ProvisioningOption{Type: "small", Zone: "a", Spot: true}, 2)
	for range 3 {
		c.writeQueue.Dispatch()
		out := takeEffects(c)
		for _, f := range out {
			switch f := f.(type) {
			case messages.StoreTxn:
				if first == nil {
					first = &f
				}
				c.loop.Deliver(messages.Reply{Call: f.Call, Body: carryOut(f)})
			case messages.CloudScaleOut:
				rented = true
				c.loop.Deliver(messages.Reply{Call: f.Call, Body: messages.ScaleOutReply{Outcome: messages.OK, IDs: []cluster.MachineID{"m-1", "m-2"}}})
			}
		}
	}
	if !rented || len(c.state.Groups) != 1 || len(p.ProvisioningRequests) != 0 {
		t.Fatalf("rented %v, %d groups, %d open rentals", rented, len(c.state.Groups), len(p.ProvisioningRequests))
	}
	if r := carryOut(*first); r.Outcome != messages.Conflict {
		t.Errorf("a late copy of the rental's record was carried out: %v", keys)
	}
}

// TestLateWriteOfRefusedProvisioningRejected: the creation of a rental was carried out twice,
// as far as its writer knows, and the cloud refused it. A late copy must not
// bring the request back (seven controllers, seed 1030).
func TestLateWriteOfRefusedProvisioningRejected(t *testing.T) {
	b := newControllerHarness()
	p := b.state.Shards[0]
	n := 0
	b.losesReply = func(messages.StoreTxn) bool { n++; return n == 1 }
	b.provisioner.Requests.Create(p, state.ProvisioningOption{Type: "small", Zone: "a", Spot: true}, 2)
	var rent *messages.CloudScaleOut
	for range 100 {
		b.loop.RunTimers()
		b.writeQueue.Dispatch()
		if i := slices.IndexFunc(b.loop.Effects(), func(f messages.Effect) bool { _, ok := f.(messages.CloudScaleOut); return ok }); i >= 0 {
			f := b.loop.Effects()[i].(messages.CloudScaleOut)
			rent = &f
			break
		}
		b.runFor(0)
	}
	if rent == nil {
		t.Fatal("nothing was asked of the cloud")
	}
	b.loop.Deliver(messages.Reply{Call: rent.Call, Body: messages.ScaleOutReply{Outcome: messages.NotFound}})
	b.runFor(second)
	if len(p.ProvisioningRequests) != 0 || b.store.get("rentals/"+rent.Name).Outcome != messages.NotFound {
		t.Fatalf("the refused request is still there: %v", p.ProvisioningRequests)
	}
	if r := b.store.commit(b.sentTransactions[0]); r.Outcome != messages.Conflict {
		t.Error("a late copy of the refused request was carried out")
	}
}
