package core

import "stairrelay/internal/ratelimit"

// The cloud's request rate is one limit for all controllers. Each takes a part
// of it by what it could use, as with the store's write rate: the one that
// holds the only team with work would otherwise rent a fleet with a seventh of
// what is allowed, while six that need nothing have the rest.

// cloudShare is this controller's part of the cloud's request rate.
type cloudShare struct {
	bucket ratelimit.TokenBucket
	sent   int     // calls since demand was last worked out
	denied bool    // something had to wait since then
	demand float64 // calls a second that this controller could use
}

// demandHeard is how long what another controller told of its demand counts:
// calls come each second, so it has missed two by then.
const demandHeard = 3 * second

// shareByNeed returns this controller's part of a limit that all live ones
// share. told picks the demand on it from what another one has told.
func (c *Core) shareByNeed(limit, demand float64, told func(*Ping) float64) float64 {
	others := make([]ratelimit.Demand, 0, len(c.peers))
	for _, id := range c.cfg.Nodes {
		if p := c.peers[id]; p != nil && !p.failed {
			known := p.heard && c.now-p.pingAt < demandHeard
			others = append(others, ratelimit.Demand{Rate: told(&p.ping), Known: known})
		}
	}
	return ratelimit.Divide(limit, demand, c.writer.live, others)
}

// measureCloud works out once a second what this controller could use. A need
// shows at once and fades slowly: rentals come in waves.
func (c *Core) measureCloud() {
	s := &c.cloud
	want := float64(s.sent)
	if s.denied {
		want = c.cfg.CloudRPS
	}
	s.sent, s.denied = 0, false
	s.demand = max(want, s.demand*0.8)
	c.divideCloud()
}

// cloudBurst is for how many seconds of the rate the cloud allows bursts.
const cloudBurst = 2

func (c *Core) divideCloud() {
	s := &c.cloud
	s.bucket.Refill(c.now)
	rate := c.shareByNeed(c.cfg.CloudRPS*c.cfg.Tuning.BudgetShare, s.demand, func(g *Ping) float64 { return g.Cloud })
	s.bucket.SetRate(rate, max(cloudBurst*rate, 1))
}

// mayCallCloud takes a call out of the share, or notes that one had to wait.
func (c *Core) mayCallCloud() bool {
	if !c.cloud.bucket.Take(c.now, 1) {
		c.cloud.denied = true
		return false
	}
	c.countCloudCall()
	return true
}

// mustCallCloud counts a call that waits for nothing: without the machine types
// nothing runs, and a request that is repeated was paid for once.
func (c *Core) mustCallCloud() {
	c.cloud.bucket.Refill(c.now)
	c.cloud.bucket.Spend(1)
	c.countCloudCall()
}

func (c *Core) countCloudCall() {
	c.cloud.sent++
	c.counters.CloudCalls++
}

// cloudThrottled follows a 429: the controllers' views of their shares differ
// for a moment, and this one has used more than there was.
func (c *Core) cloudThrottled() { c.cloud.bucket.Lower(0) }
