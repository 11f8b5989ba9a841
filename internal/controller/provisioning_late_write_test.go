package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestLateProvisioningWriteRejected checks that a delayed copy of a provisioning request's
// creation is rejected after its machines are recorded. Otherwise the next owner would repeat
// the request and record its machines twice. A task ran twice because of this (random seed 175).
func TestLateProvisioningWriteRejected(t *testing.T) {
	h := newControllerHarness()
	shard := h.state.Shards[0]
	h.provisioner.Requests.Create(shard, state.ProvisioningOption{Type: "small", Zone: "a", Spot: true}, 2)
	requested := h.awaitScaleOut(t)
	first := h.sentTransactions[0]
	if first.Then[0].Key != "rentals/"+requested.Name {
		t.Fatalf("the first transaction writes %s, want the provisioning request", first.Then[0].Key)
	}
	h.loop.Deliver(messages.Reply{Call: requested.Call, Body: messages.ScaleOutReply{Outcome: messages.OK, IDs: []cluster.MachineID{"m-1", "m-2"}}})
	h.runFor(second)
	if len(h.state.Groups) != 1 || len(shard.ProvisioningRequests) != 0 {
		t.Fatalf("%d groups, %d open requests; want one group and no open request", len(h.state.Groups), len(shard.ProvisioningRequests))
	}
	if reply := h.store.commit(first); reply.Outcome != messages.Conflict {
		t.Errorf("a late copy of the request's creation was applied: %v", h.store.keys)
	}
}

// TestLateWriteOfFailedProvisioningRejected checks that a delayed copy of a provisioning
// request's creation is rejected after the cloud has rejected the request.
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
		t.Fatalf("the rejected request is still open: %v", shard.ProvisioningRequests)
	}
	if reply := h.store.commit(h.sentTransactions[0]); reply.Outcome != messages.Conflict {
		t.Error("a late copy of the rejected request's creation was applied")
	}
}

// awaitScaleOut runs the controller until it requests machines from the cloud, and
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
