package provisioning

import (
	"fmt"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// The size of the cloud's list in the tests.
const (
	listedMachines = 4000
	listPageSize   = 500
	listPages      = listedMachines / listPageSize
)

// listPage returns the page of the list that follows a machine.
func listPage(after cluster.MachineID) messages.ListMachinesReply {
	first := 0
	if after != "" {
		_, _ = fmt.Sscanf(string(after), "m-%d", &first)
		first++
	}
	reply := messages.ListMachinesReply{Outcome: messages.OK, More: first+listPageSize < listedMachines}
	for i := range listPageSize {
		id := cluster.MachineID(fmt.Sprintf("m-%06d", first+i))
		reply.Items = append(reply.Items, cluster.ListedMachine{ID: id, Status: "running"})
	}
	return reply
}

// takeListRequests removes all pending effects and returns the requests for pages of the
// list among them.
func (h *harness) takeListRequests() []messages.CloudListMachines {
	var requests []messages.CloudListMachines
	for _, effect := range h.takeEffects() {
		if request, ok := effect.(messages.CloudListMachines); ok {
			requests = append(requests, request)
		}
	}
	return requests
}

// TestMachineListWithinCloudRate checks that reading the list of a large fleet stays within
// the controller's share of the cloud's rate limit and repeats a throttled request.
func TestMachineListWithinCloudRate(t *testing.T) {
	const throttledCall = 3 // throttled once, so that the page is requested again
	h := newHarness(t)
	h.RateLimiter.bucket.Fill()
	calls, listed := 0, false
	startedAt := h.loop.Now()
	h.List.Poll()
	h.List.nextReadAt = 1 << 62
	for ; h.loop.Now() < startedAt+30*second && !listed; h.setTime(h.loop.Now() + 50*millisecond) {
		h.loop.RunTimers()
		for _, request := range h.takeListRequests() {
			reply := listPage(request.After)
			if calls++; calls == throttledCall {
				reply = messages.ListMachinesReply{Outcome: messages.Throttled}
			}
			h.loop.Deliver(messages.Reply{Call: request.Call, Body: reply})
			listed = listed || !h.List.reading
		}
	}
	if calls != listPages+1 {
		t.Errorf("%d calls for %d pages, want one more for the throttled page", calls, listPages)
	}
	if h.List.lastPageCount != listPages || h.List.reading {
		t.Fatalf("%d pages read, or a read is still running", h.List.lastPageCount)
	}
	config := h.List.config
	share := config.CloudRPS * config.BudgetShare / testControllers
	elapsed := (h.loop.Now() - startedAt).Seconds()
	if allowed := 2*share + share*elapsed + 1; float64(calls) > allowed {
		t.Errorf("%d calls within %.1f s, want at most %.1f", calls, elapsed, allowed)
	}
	if rate := float64(listPages*testControllers) / h.List.interval().Seconds(); rate > config.CloudRPS*listRateShare*1.01 {
		t.Errorf("regular reads of all controllers use %.1f of %.1f calls per second, want at most half", rate, config.CloudRPS)
	}
}

// TestThrottledPageEmptiesBucket checks that no other request is allowed right after
// the cloud has throttled a page.
func TestThrottledPageEmptiesBucket(t *testing.T) {
	h := newHarness(t)
	h.RateLimiter.bucket.SetRate(1, 10)
	h.RateLimiter.bucket.Fill()
	h.List.Poll()
	request := h.takeListRequests()[0]
	h.loop.Deliver(messages.Reply{Call: request.Call, Body: messages.ListMachinesReply{Outcome: messages.Throttled}})
	if h.RateLimiter.TryAcquire() {
		t.Error("a request was allowed right after one was throttled")
	}
}
