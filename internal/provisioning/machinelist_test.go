package provisioning

import (
	"fmt"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// The list of the tests' large fleet.
const (
	listedMachines = 4000
	listPageSize   = 500
	listPages      = listedMachines / listPageSize
)

// listPage is the page of the list that follows a machine.
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

// listRequests returns the requests for pages that were made since effects were last
// taken.
func (h *harness) listRequests() []messages.CloudListMachines {
	var requests []messages.CloudListMachines
	for _, effect := range h.takeEffects() {
		if request, ok := effect.(messages.CloudListMachines); ok {
			requests = append(requests, request)
		}
	}
	return requests
}

// TestMachineListWithinCloudRate shows that all pages of the machine list of a large
// fleet are read, none faster than this controller's share of the cloud's request rate
// allows, and that the next reading waits until the readings of all controllers
// together take half of the rate at most. Read at once every 8 s, nine pages by five
// controllers were more requests than the cloud allows, and none were left for
// provisioning.
func TestMachineListWithinCloudRate(t *testing.T) {
	const throttledCall = 3 // refused once: the page is asked for again
	h := newHarness(t)
	h.Rate.bucket.Fill()
	calls, listed := 0, false
	begin := h.loop.Now()
	h.List.Poll()
	h.List.nextReadAt = 1 << 62
	for ; h.loop.Now() < begin+30*second && !listed; h.setTime(h.loop.Now() + 50*millisecond) {
		h.loop.RunTimers()
		for _, request := range h.listRequests() {
			reply := listPage(request.After)
			if calls++; calls == throttledCall {
				reply = messages.ListMachinesReply{Outcome: messages.Throttled}
			}
			h.loop.Deliver(messages.Reply{Call: request.Call, Body: reply})
			listed = listed || !h.List.reading
		}
	}
	if calls != listPages+1 {
		t.Errorf("%d calls for %d pages, one of them refused once", calls, listPages)
	}
	if h.List.lastPageCount != listPages || h.List.reading {
		t.Fatalf("%d pages read", h.List.lastPageCount)
	}
	config := h.List.config
	share := config.CloudRPS * config.BudgetShare / testControllers
	took := (h.loop.Now() - begin).Seconds()
	if allowed := 2*share + share*took + 1; float64(calls) > allowed {
		t.Errorf("%d calls within %.1f s, %.1f are allowed", calls, took, allowed)
	}
	if rate := float64(listPages*testControllers) / h.List.interval().Seconds(); rate > config.CloudRPS*listRateShare*1.01 {
		t.Errorf("regular readings take %.1f of %.1f calls a second", rate, config.CloudRPS)
	}
}

// TestThrottledPageEmptiesShare shows that after a page was refused for the rate no other
// request goes out at once.
func TestThrottledPageEmptiesShare(t *testing.T) {
	h := newHarness(t)
	h.Rate.bucket.SetRate(1, 10)
	h.Rate.bucket.Fill()
	h.List.Poll()
	request := h.listRequests()[0]
	h.loop.Deliver(messages.Reply{Call: request.Call, Body: messages.ListMachinesReply{Outcome: messages.Throttled}})
	if h.Rate.TryCall() {
		t.Error("a request went out right after one was refused for the rate")
	}
}
