package core

// The cloud's request rate is one limit for all controllers. Each takes a part
// of it by what it could use, as with the store's write rate: the one that
// holds the only team with work would otherwise rent a fleet with a seventh of
// what is allowed, while six that need nothing have the rest.

// cloudShare is this controller's part of the cloud's request rate.
type cloudShare struct {
	bucket
	sent   int     // calls since demand was last worked out
	denied bool    // something had to wait since then
	demand float64 // calls a second that this controller could use
}

// shareByNeed divides a limit among the live controllers. A fifth is divided
// evenly, so that an idle one can begin; of the rest each gets what it could
// use, in proportion where that is more than there is. A controller not heard
// yet counts with an even part.
func (c *Core) shareByNeed(total, demand float64, told func(*Ping) float64) float64 {
	live := float64(c.w.live)
	floor, rest := total/5/live, total*4/5
	need := func(demand float64) float64 { return demand * 1.25 }
	mine := need(demand)
	sum := mine
	for _, p := range c.peers {
		switch {
		case p.failed:
		case p.heard && c.now-p.pingAt < 3*second:
			sum += need(told(&p.ping))
		default:
			sum += rest / live
		}
	}
	if sum > rest {
		return floor + mine*rest/sum
	}
	return floor + mine + (rest-sum)/live
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

func (c *Core) divideCloud() {
	s := &c.cloud
	s.refill(c.now)
	s.rate = c.shareByNeed(c.cfg.CloudRPS*c.cfg.Tuning.BudgetShare, s.demand, func(g *Ping) float64 { return g.Cloud })
	s.cap = max(2*s.rate, 1) // the cloud allows bursts worth two seconds
}

// mayCallCloud takes a call out of the share, or notes that one had to wait.
func (c *Core) mayCallCloud() bool {
	if !c.cloud.take(c.now, 1) {
		c.cloud.denied = true
		return false
	}
	c.countCloudCall()
	return true
}

// mustCallCloud counts a call that waits for nothing: without the machine types
// nothing runs, and a request that is repeated was paid for once.
func (c *Core) mustCallCloud() {
	c.cloud.refill(c.now)
	c.cloud.have--
	c.countCloudCall()
}

func (c *Core) countCloudCall() {
	c.cloud.sent++
	c.counters.CloudCalls++
}

// cloudThrottled follows a 429: the controllers' views of their shares differ
// for a moment, and this one has used more than there was.
func (c *Core) cloudThrottled() { c.cloud.have = min(c.cloud.have, 0) }
