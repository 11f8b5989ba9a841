package provisioning

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

var testOption = state.ProvisioningOption{Type: "small", Zone: "a"}

// storedRequest makes a provisioning request whose record an owned shard has read.
func storedRequest(h *harness) (*state.Shard, *state.ProvisioningRequest) {
	shard := h.state.Shards[0]
	shard.Owned = true
	shard.ProvisioningRequests = map[string]*state.ProvisioningRequest{}
	shard.OutOfCapacityUntil = map[state.ProvisioningOption]cluster.Time{}
	value := []byte(`{"p":0,"f":"small","y":"a","n":2,"w":"b0-1"}`)
	h.Requests.ApplyRecord(messages.KV{Key: "rentals/r-1", Value: value, ModRevision: 7}, shard)
	return shard, shard.ProvisioningRequests["r-1"]
}

// scaleOutCall returns the call for machines that was made since effects were last taken.
func (h *harness) scaleOutCall(t *testing.T) messages.CloudScaleOut {
	t.Helper()
	call, sent := takeEffect[messages.CloudScaleOut](t, h)
	if !sent {
		t.Fatal("the cloud was not called for machines")
	}
	return call
}

// TestRequestRepeatedUntilAnswered shows that a request whose outcome is not known is
// repeated under its name, and that it is not once it was answered.
func TestRequestRepeatedUntilAnswered(t *testing.T) {
	for _, test := range []struct {
		outcome messages.Outcome
		delay   cluster.Time
	}{
		{messages.UnknownOutcome, requestRetryDelay},
		{messages.NotApplied, requestRetryDelay},
		{messages.Throttled, requestThrottledDelay},
	} {
		h := newHarness(t)
		shard, request := storedRequest(h)
		first := h.scaleOutCall(t)
		h.loop.Deliver(messages.Reply{Call: first.Call, Body: messages.ScaleOutReply{Outcome: test.outcome}})
		h.setTime(h.loop.Now() + test.delay)
		h.loop.RunTimers()
		second := h.scaleOutCall(t)
		if second.Name != first.Name || second.Count != first.Count || request.Answered {
			t.Errorf("outcome %d: repeated as %+v, first sent as %+v", test.outcome, second, first)
		}
		h.loop.Deliver(messages.Reply{Call: second.Call, Body: messages.ScaleOutReply{Outcome: messages.OK, IDs: []cluster.MachineID{"m-1", "m-2"}}})
		if !request.Answered || request.ExpectedMachineCount() != 2 || !h.ScaleOut.scheduled {
			t.Errorf("outcome %d: the repeated request is not answered, or no other takes its place: %+v", test.outcome, request)
		}
		h.Requests.call(shard, request)
		if call, sent := takeEffect[messages.CloudScaleOut](t, h); sent {
			t.Errorf("outcome %d: an answered request is sent again as %+v", test.outcome, call)
		}
	}
}

// TestOutOfCapacityBackoff shows that the pause of an option doubles with each refusal in
// a row up to a bound, and that machines which are granted end the row.
func TestOutOfCapacityBackoff(t *testing.T) {
	h := newHarness(t)
	shard, request := storedRequest(h)
	for i, want := range []cluster.Time{15 * second, 30 * second, 60 * second, 60 * second} {
		h.Requests.handleReply(shard, request, messages.ScaleOutReply{Outcome: messages.NotFound})
		if got := shard.OutOfCapacityUntil[testOption] - h.loop.Now(); got != want {
			t.Errorf("refusal %d: not requested for %v s, want %v s", i+1, got.Seconds(), want.Seconds())
		}
	}
	h.Requests.handleReply(shard, request, messages.ScaleOutReply{Outcome: messages.OK, IDs: []cluster.MachineID{"m-1"}})
	h.Requests.handleReply(shard, request, messages.ScaleOutReply{Outcome: messages.NotFound})
	if got := shard.OutOfCapacityUntil[testOption] - h.loop.Now(); got != 15*second {
		t.Errorf("the first refusal after a grant: not requested for %v s", got.Seconds())
	}
	if !shard.IsBackedOff(testOption, h.loop.Now()) || shard.IsBackedOff(testOption, h.loop.Now()+15*second) {
		t.Error("the option is not backed off for exactly the pause")
	}
}

// TestCorruptRequestRecord shows that a shard with a record that can't be read is given
// up, and that the record of another shard is left to it.
func TestCorruptRequestRecord(t *testing.T) {
	h := newHarness(t)
	shard, _ := storedRequest(h)
	h.takeEffects()
	h.Requests.ApplyRecord(messages.KV{Key: "rentals/r-2", Value: []byte(`{"p":"x"}`)}, shard)
	if len(h.host.corruptKeys) != 1 || h.host.corruptKeys[0] != "rentals/r-2" {
		t.Errorf("given up for %v", h.host.corruptKeys)
	}
	h.Requests.ApplyRecord(messages.KV{Key: "rentals/r-3", Value: []byte(`{"p":1,"n":1}`)}, shard)
	if len(shard.ProvisioningRequests) != 1 || len(h.takeEffects()) != 0 {
		t.Error("the request of another shard was taken up")
	}
}
