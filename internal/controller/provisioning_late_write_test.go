package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestLateProvisioningWriteRejected checks that a delayed copy of the write that
// created a provisioning request is rejected after the machines were added to a group.
// If it were applied, the next owner would repeat the request and record the machines
// twice.
func TestLateProvisioningWriteRejected(t *testing.T) {
	h := newControllerHarness()
	shard := h.state.Shards[0]
	h.provisioner.Requests.Create(shard, state.ProvisioningOption{Type: "small", Zone: "a", Spot: true}, 2)
	requested := h.awaitScaleOut(t)
	first := h.sentTransactions[0]
	if first.Then[0].Key != "rentals/"+requested.Name {
		t.Fatalf("the first transaction writes %s", first.Then[0].Key)
	}
	h.loop.Deliver(messages.Reply{Call: requested.Call, Body: messages.ScaleOutReply{Outcome: messages.OK, IDs: []cluster.MachineID{"m-1", "m-2"}}})
	h.runFor(second)
	if len(h.state.Groups) != 1 || len(shard.ProvisioningRequests) != 0 {
		t.Fatalf("%d groups, %d open requests", len(h.state.Groups), len(shard.ProvisioningRequests))
	}
	if reply := h.store.commit(first); reply.Outcome != messages.Conflict {
		t.Errorf("a late copy of the request's creation was applied: %v", h.store.keys)
	}
}

// TestLateWriteOfRefusedProvisioningRejected checks that a delayed copy of the write
// that created a provisioning request is rejected after the cloud has refused the
// request. The reply to the first write is lost, so the write is sent twice.
func TestLateWriteOfFailedProvisioningRejected(t *testing.T) {
	h := newControllerHarness()
	shard := h.state.Shards[0]
	transactions := 0
	h.losesReply = func(messages.StoreTxn) bool { transactions++; return transactions == 1 }
	h.provisioner.Requests.Create(shard, state.ProvisioningOption{Type: "small", Zone: "a", Spot: true}, 2)
	requested := h.awaitScaleOut(t)
	h.loop.Deliver(messages.Reply{Call: requested.Call, Body: messages.ScaleOutReply{Outcome: messages.NotFound}})
	h.runFor(second)
	if len(shard.ProvisioningRequests) != 0 || h.store.get("rentals/"+requested.Name).Outcome != messages.NotFound {
		t.Fatalf("the refused request is still there: %v", shard.ProvisioningRequests)
	}
	if reply := h.store.commit(h.sentTransactions[0]); reply.Outcome != messages.Conflict {
		t.Error("a late copy of the refused request's creation was applied")
	}
}

// awaitScaleOut lets the store reply until machines are requested from the cloud, and
// returns the request.
func (h *controllerHarness) awaitScaleOut(t *testing.T) messages.CloudScaleOut {
	t.Helper()
	for range 100 {
		h.loop.RunTimers()
		h.writeQueue.Dispatch()
		for _, effect := range h.loop.Effects() {
			if requested, ok := effect.(messages.CloudScaleOut); ok {
				return requested
			}
		}
		h.runFor(0)
	}
	t.Fatal("no machines were requested from the cloud")
	return messages.CloudScaleOut{}
}
