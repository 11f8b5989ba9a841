package provisioning

import (
	"fmt"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// TestMachineListWithinCloudRate shows that all pages of the machine list of a large
// fleet are read, none faster than this controller's share of the cloud's request rate
// allows, and that the next reading waits until the readings of all controllers
// together take half of the rate at most. Read at once every 8 s, nine pages by five
// controllers were more requests than the cloud allows, and none were left for
// provisioning.
func TestMachineListWithinCloudRate(t *testing.T) {
	h := newHarness(t)
	const machines, pageSize = 4000, 500
	page := func(after cluster.MachineID) messages.CloudListReply {
		first := 0
		if after != "" {
			_, _ = fmt.Sscanf(string(after), "m-%d", &first)
			first++
		}
		reply := messages.CloudListReply{Outcome: messages.OK, More: first+pageSize < machines}
		for i := range pageSize {
			reply.Items = append(reply.Items, cluster.ListedMachine{ID: cluster.MachineID(fmt.Sprintf("m-%06d", first+i)), Status: "running"})
		}
		return reply
	}
	h.Rate.bucket.Fill()
	calls, throttled := 0, false
	listed := 0
	begin := h.loop.Now()
	h.List.Poll()
	h.List.nextReadAt = 1 << 62
	for h.setTime(begin); h.loop.Now() < begin+30*second && listed == 0; h.setTime(h.loop.Now() + 50*millisecond) {
		h.loop.RunTimers()
		for _, effect := range h.takeEffects() {
			request, isList := effect.(messages.CloudList)
			if !isList {
				continue
			}
			calls++
			if calls == 3 && !throttled { // refused once: the page is asked for again
				throttled = true
				h.loop.Deliver(messages.Reply{Call: request.Call, Body: messages.CloudListReply{Outcome: messages.Throttled}})
				continue
			}
			h.loop.Deliver(messages.Reply{Call: request.Call, Body: page(request.After)})
			if !h.List.reading {
				listed = machines
			}
		}
	}
	const pages = machines / pageSize
	if calls != pages+1 {
		t.Errorf("%d calls for %d pages, one of them refused once", calls, pages)
	}
	if h.List.lastPageCount != pages || h.List.reading {
		t.Fatalf("%d pages read", h.List.lastPageCount)
	}
	share := h.List.config.CloudRPS * h.List.config.BudgetShare / testControllers
	took := (h.loop.Now() - begin).Seconds()
	if allowed := 2*share + share*took + 1; float64(calls) > allowed {
		t.Errorf("%d calls within %.1f s, %.1f are allowed", calls, took, allowed)
	}
	if rate := float64(pages*testControllers) / h.List.interval().Seconds(); rate > h.List.config.CloudRPS*listRateShare*1.01 {
		t.Errorf("regular readings take %.1f of %.1f calls a second", rate, h.List.config.CloudRPS)
	}
}
