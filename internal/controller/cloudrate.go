package controller

import (
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
	"stairrelay/internal/ratelimit"
)

// The cloud's request rate is one limit for all controllers. Each takes a part
// of it by what it could use, as with the store's write rate: the one that
// holds the only team with work would otherwise rent a fleet with a seventh of
// what is allowed, while six that need nothing have the rest.

// cloudRateShare is this controller's part of the cloud's request rate.
type cloudRateShare struct {
	bucket    ratelimit.TokenBucket
	callCount int     // calls since demand was last worked out
	wasDenied bool    // something had to wait since then
	demand    float64 // calls a second that this controller could use
}

// shareByDemand returns this controller's part of a limit that all live ones
// share. told picks the demand on it from what another one has told.
func (c *Controller) shareByDemand(limit, demand float64, liveControllers int, told func(*messages.Ping) float64) float64 {
	if c.members == nil { // the write queue is made first, and asks at once
		return ratelimit.Divide(limit, demand, liveControllers, nil)
	}
	peers := c.members.Peers()
	others := make([]ratelimit.Demand, 0, len(peers))
	for _, peer := range peers {
		if !peer.IsUnreachable() {
			known := peer.HasAnswered() && peer.PingAge() < membership.PingFreshness
			others = append(others, ratelimit.Demand{Rate: told(peer.LastPing()), Known: known})
		}
	}
	return ratelimit.Divide(limit, demand, liveControllers, others)
}

// measureCloudDemand works out once a second what this controller could use. A need
// shows at once and fades slowly: rentals come in waves.
func (c *Controller) measureCloudDemand() {
	s := &c.cloudRate
	want := float64(s.callCount)
	if s.wasDenied {
		want = c.config.CloudRPS
	}
	s.callCount, s.wasDenied = 0, false
	s.demand = max(want, s.demand*0.8)
	c.updateCloudRate()
}

// cloudBurstSeconds is for how many seconds of the rate the cloud allows bursts.
const cloudBurstSeconds = 2

func (c *Controller) updateCloudRate() {
	s := &c.cloudRate
	s.bucket.Refill(c.loop.Now())
	rate := c.shareByDemand(c.config.CloudRPS*c.config.Tuning.RateBudgetShare, s.demand, c.writeQueue.LiveControllers(), func(g *messages.Ping) float64 { return g.CloudDemand })
	s.bucket.SetRate(rate, max(cloudBurstSeconds*rate, 1))
}

// tryCloudCall takes a call out of the share, or notes that one had to wait.
func (c *Controller) tryCloudCall() bool {
	if !c.cloudRate.bucket.Take(c.loop.Now(), 1) {
		c.cloudRate.wasDenied = true
		return false
	}
	c.countCloudCall()
	return true
}

// forceCloudCall counts a call that waits for nothing: without the machine types
// nothing runs, and a request that is repeated was paid for once.
func (c *Controller) forceCloudCall() {
	c.cloudRate.bucket.Refill(c.loop.Now())
	c.cloudRate.bucket.Spend(1)
	c.countCloudCall()
}

func (c *Controller) countCloudCall() {
	c.cloudRate.callCount++
	c.counters.CloudCalls++
}

// handleCloudThrottled follows a 429: the controllers' views of their shares differ
// for a moment, and this one has used more than there was.
func (c *Controller) handleCloudThrottled() { c.cloudRate.bucket.Lower(0) }
