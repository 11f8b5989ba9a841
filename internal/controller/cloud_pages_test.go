package controller

import (
	"fmt"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// TestMachineListWithinCloudRate: the machine list of a large fleet has many pages. All
// are read, none faster than this controller's share of the cloud's calls
// allows, and the next reading waits until all controllers' readings together
// take half of the rate at most. Read at once every 8 s, nine pages by five
// controllers were more calls than the cloud allows, and none were left to rent.
func TestMachineListWithinCloudRate(t *testing.T) {
	b := newControllerHarness()
	const machines, pageSize = 4000, 500
	page := func(since cluster.MachineID) messages.CloudListReply {
		first := 0
		if since != "" {
			_, _ = fmt.Sscanf(string(since), "m-%d", &first)
			first++
		}
		reply := messages.CloudListReply{Outcome: messages.OK, More: first+pageSize < machines}
		for i := range pageSize {
			reply.Items = append(reply.Items, cluster.ListedMachine{ID: cluster.MachineID(fmt.Sprintf("m-%06d", first+i)), Status: "running"})
		}
		return reply
	}
	b.cloudRate.bucket.Fill()
	calls, throttled := 0, false
	listed := 0
	begin := b.loop.Now()
	b.pollCloudList()
	b.cloudListing.nextReadAt = 1 << 62
	for setTime(b.Controller, begin); b.loop.Now() < begin+30*second && listed == 0; setTime(b.Controller, b.loop.Now()+50*millisecond) {
		b.loop.RunTimers()
		out := takeEffects(b.Controller)
		for _, f := range out {
			ask, isList := f.(messages.CloudList)
			if !isList {
				continue
			}
			calls++
			if calls == 3 && !throttled { // refused once: the page is asked for again
				throttled = true
				b.loop.Deliver(messages.Reply{Call: ask.Call, Body: messages.CloudListReply{Outcome: messages.Throttled}})
				continue
			}
			b.loop.Deliver(messages.Reply{Call: ask.Call, Body: page(ask.After)})
			if !b.cloudListing.inProgress {
				listed = machines
			}
		}
	}
	const pages = machines / pageSize
	if calls != pages+1 {
		t.Errorf("%d calls for %d pages, one of them refused once", calls, pages)
	}
	if b.cloudListing.lastPageCount != pages || b.cloudListing.inProgress {
		t.Fatalf("%d pages read", b.cloudListing.lastPageCount)
	}
	share := b.config.CloudRPS * b.config.Tuning.RateBudgetShare / 3
	took := (b.loop.Now() - begin).Seconds()
	if allowed := 2*share + share*took + 1; float64(calls) > allowed {
		t.Errorf("%d calls within %.1f s, %.1f are allowed", calls, took, allowed)
	}
	if rate := float64(pages*3) / b.cloudListInterval().Seconds(); rate > b.config.CloudRPS*listRateShare*1.01 {
		t.Errorf("regular readings take %.1f of %.1f calls a second", rate, b.config.CloudRPS)
	}
}
