package provisioning

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

var testOption = state.ProvisioningOption{Type: "small", Zone: "a"}

// loadStoredRequest makes the first shard owned and applies the stored record of a
// provisioning request to it.
func loadStoredRequest(h *harness) (*state.Shard, *state.ProvisioningRequest) {
	shard := h.state.Shards[0]
	shard.Owned = true
	shard.ProvisioningRequests = map[string]*state.ProvisioningRequest{}
	shard.OptionBackoffUntil = map[state.ProvisioningOption]cluster.Time{}
	value := []byte(`{"p":0,"f":"small","y":"a","n":2,"w":"b0-1"}`)
	h.Requests.ApplyRecord(messages.KV{Key: "rentals/r-1", Value: value, ModRevision: 7}, shard)
	return shard, shard.ProvisioningRequests["r-1"]
}

// takeScaleOutCall removes all pending effects and returns the only scale-out call. It
// fails the test if there is none.
func (h *harness) takeScaleOutCall(t *testing.T) messages.CloudScaleOut {
	t.Helper()
	call, sent := takeEffect[messages.CloudScaleOut](t, h)
	if !sent {
		t.Fatal("no scale-out call was made")
	}
	return call
}

// TestRequestRetriedUntilAnswered checks that a request is retried under its name until
// it is answered, and not after that.
func TestRequestRetriedUntilAnswered(t *testing.T) {
	for _, test := range []struct {
		outcome messages.Outcome
		delay   cluster.Time
	}{
		{messages.UnknownOutcome, requestRetryDelay},
		{messages.NotApplied, requestRetryDelay},
		{messages.Throttled, requestThrottledDelay},
	} {
		h := newHarness(t)
		shard, request := loadStoredRequest(h)
		first := h.takeScaleOutCall(t)
		h.loop.Deliver(messages.Reply{Call: first.Call, Body: messages.ScaleOutReply{Outcome: test.outcome}})
		h.setTime(h.loop.Now() + test.delay)
		h.loop.RunTimers()
		repeated := h.takeScaleOutCall(t)
		if repeated.Name != first.Name || repeated.Count != first.Count || request.Answered {
			t.Errorf("outcome %d: retried as %+v, first sent as %+v", test.outcome, repeated, first)
		}
		h.loop.Deliver(messages.Reply{Call: repeated.Call, Body: messages.ScaleOutReply{Outcome: messages.OK, IDs: []cluster.MachineID{"m-1", "m-2"}}})
		if !request.Answered || request.ExpectedMachineCount() != 2 || !h.ScaleOut.scheduled {
			t.Errorf("outcome %d: the retried request is not answered, or no scale-out run is scheduled: %+v", test.outcome, request)
		}
		h.Requests.call(shard, request)
		if call, sent := takeEffect[messages.CloudScaleOut](t, h); sent {
			t.Errorf("outcome %d: an answered request was sent again as %+v", test.outcome, call)
		}
	}
}

// TestOutOfCapacityBackoff checks that the backoff of an option doubles with consecutive
// rejections up to a limit, and that granted machines reset it.
func TestOutOfCapacityBackoff(t *testing.T) {
	h := newHarness(t)
	shard, request := loadStoredRequest(h)
	for i, want := range []cluster.Time{15 * second, 30 * second, 60 * second, 60 * second} {
		h.Requests.handleReply(shard, request, messages.ScaleOutReply{Outcome: messages.NotFound})
		if got := shard.OptionBackoffUntil[testOption] - h.loop.Now(); got != want {
			t.Errorf("rejection %d: backoff of %v s, want %v s", i+1, got.Seconds(), want.Seconds())
		}
	}
	h.Requests.handleReply(shard, request, messages.ScaleOutReply{Outcome: messages.OK, IDs: []cluster.MachineID{"m-1"}})
	h.Requests.handleReply(shard, request, messages.ScaleOutReply{Outcome: messages.NotFound})
	if got := shard.OptionBackoffUntil[testOption] - h.loop.Now(); got != 15*second {
		t.Errorf("first rejection after a grant: backoff of %v s, want 15 s", got.Seconds())
	}
	if !shard.IsBackedOff(testOption, h.loop.Now()) || shard.IsBackedOff(testOption, h.loop.Now()+15*second) {
		t.Error("the option is not backed off for exactly 15 s")
	}
}

// TestCorruptRequestRecord checks that a shard with an invalid record is dropped, and
// that the record of another shard is ignored.
func TestCorruptRequestRecord(t *testing.T) {
	h := newHarness(t)
	shard, _ := loadStoredRequest(h)
	h.takeEffects()
	h.Requests.ApplyRecord(messages.KV{Key: "rentals/r-2", Value: []byte(`{"p":"x"}`)}, shard)
	if len(h.fakes.corruptKeys) != 1 || h.fakes.corruptKeys[0] != "rentals/r-2" {
		t.Errorf("shard dropped because of %v, want rentals/r-2", h.fakes.corruptKeys)
	}
	h.Requests.ApplyRecord(messages.KV{Key: "rentals/r-3", Value: []byte(`{"p":1,"n":1}`)}, shard)
	if len(shard.ProvisioningRequests) != 1 || len(h.takeEffects()) != 0 {
		t.Error("the request of another shard was not ignored")
	}
}
