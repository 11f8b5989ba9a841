package controller

import (
	"slices"
	"testing"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// TestLateProvisioningWriteRejected: a late copy of the transaction that recorded a
// provisioning request must not bring the record back after its machines are in a
// group: the next owner would repeat the request and list them twice (seed 175, a task
// ran twice).
func TestLateProvisioningWriteRejected(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0"}, StoreRPS: 100, WriteRPS: 100, MaxValueBytes: 4096, MaxTxnOps: 12, CloudRPS: 5, Tuning: DefaultTuning()})
	shard := c.state.Shards[0]
	shard.Owned, shard.Ready, shard.ModRevision = true, true, 3
	shard.ProvisioningRequests, shard.OutOfCapacityUntil = map[string]*state.ProvisioningRequest{}, map[state.ProvisioningOption]cluster.Time{}
	keys := map[string]cluster.ModRevision{shard.Key(): 3}
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
	requested := false
	c.provisioner.Requests.Create(shard, state.ProvisioningOption{Type: "small", Zone: "a", Spot: true}, 2)
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
				requested = true
				c.loop.Deliver(messages.Reply{Call: f.Call, Body: messages.ScaleOutReply{Outcome: messages.OK, IDs: []cluster.MachineID{"m-1", "m-2"}}})
			}
		}
	}
	if !requested || len(c.state.Groups) != 1 || len(shard.ProvisioningRequests) != 0 {
		t.Fatalf("requested %v, %d groups, %d open requests", requested, len(c.state.Groups), len(shard.ProvisioningRequests))
	}
	if r := carryOut(*first); r.Outcome != messages.Conflict {
		t.Errorf("a late copy of the request's record was carried out: %v", keys)
	}
}

// TestLateWriteOfRefusedProvisioningRejected: the transaction that recorded a request was
// carried out twice, as far as its writer knows, and the cloud had no machines. A late
// copy must not bring the request back (seven controllers, seed 1030).
func TestLateWriteOfRefusedProvisioningRejected(t *testing.T) {
	b := newControllerHarness()
	shard := b.state.Shards[0]
	n := 0
	b.losesReply = func(messages.StoreTxn) bool { n++; return n == 1 }
	b.provisioner.Requests.Create(shard, state.ProvisioningOption{Type: "small", Zone: "a", Spot: true}, 2)
	var scaleOut *messages.CloudScaleOut
	for range 100 {
		b.loop.RunTimers()
		b.writeQueue.Dispatch()
		if i := slices.IndexFunc(b.loop.Effects(), func(f messages.Effect) bool { _, ok := f.(messages.CloudScaleOut); return ok }); i >= 0 {
			f := b.loop.Effects()[i].(messages.CloudScaleOut)
			scaleOut = &f
			break
		}
		b.runFor(0)
	}
	if scaleOut == nil {
		t.Fatal("nothing was asked of the cloud")
	}
	b.loop.Deliver(messages.Reply{Call: scaleOut.Call, Body: messages.ScaleOutReply{Outcome: messages.NotFound}})
	b.runFor(second)
	if len(shard.ProvisioningRequests) != 0 || b.store.get("rentals/"+scaleOut.Name).Outcome != messages.NotFound {
		t.Fatalf("the refused request is still there: %v", shard.ProvisioningRequests)
	}
	if r := b.store.commit(b.sentTransactions[0]); r.Outcome != messages.Conflict {
		t.Error("a late copy of the refused request was carried out")
	}
}
