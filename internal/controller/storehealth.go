package controller

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// storeHealth tells whether the store serves this node.
//
// While failing, failingSince is when the first of the failures in a row came;
// while not, servedSince is when the present run of answers began. inFlight
// counts the requests sent that have no answer yet.
type storeHealth struct {
	lastSuccess     cluster.Time // 0: not once
	failing         bool
	failingSince    cluster.Time
	healthySince    cluster.Time
	inFlight        int          // but for watches
	unansweredSince cluster.Time // since when there have been some and none was answered
	probeUntil      cluster.Time // the store is asked until then, though nothing is wanted of it
}

// storeSlowThreshold is well above the few hundred milliseconds that some answers take.
const storeSlowThreshold = 600 * millisecond

// recordRequest notes a request that the store should answer soon.
func (s *storeHealth) recordRequest(now cluster.Time) {
	if s.inFlight++; s.inFlight == 1 {
		s.unansweredSince = now
	}
}

// recordOutcome notes the outcome of such a request.
func (s *storeHealth) recordOutcome(now cluster.Time, o messages.Outcome) {
	s.inFlight, s.unansweredSince = s.inFlight-1, now
	switch o {
	case messages.NotApplied, messages.UnknownOutcome:
		if !s.failing {
			s.failing, s.failingSince = true, now
		}
	case messages.Throttled:
	default:
		if s.failing || s.lastSuccess == 0 || now-s.lastSuccess > 3*second {
			s.healthySince = now
		}
		s.failing = false
		s.lastSuccess = now
	}
}

// isUnavailableFor tells whether the store has not served this node for longer than a time.
func (s *storeHealth) isUnavailableFor(now, d cluster.Time) bool {
	return s.failing && now-s.failingSince > d
}

// isStable tells whether the store has served this node all along until now.
func (s *storeHealth) isStable(now cluster.Time) bool {
	return !s.failing && s.lastSuccess > 0 && now-s.lastSuccess < 3*second/2 && now-s.healthySince > 3*second
}

// isUnresponsive tells whether the store owes answers and has given none for longer
// than the slow ones take. A cut that holds packets shows so long before any
// request is given up, and on a controller that asks for little only now.
func (s *storeHealth) isUnresponsive(now cluster.Time) bool {
	return s.isUnavailableFor(now, second/4) || s.inFlight > 0 && now-s.unansweredSince > storeSlowThreshold
}

// shouldProbe tells whether the store should be asked for nothing but an answer.
func (s *storeHealth) shouldProbe(now cluster.Time) bool {
	return (s.failing || now < s.probeUntil) && s.inFlight == 0
}

// probeStore keeps in touch with the store while it matters whether it serves
// this controller: while it does not, to know when it does again, and while
// another says that it has lost it, to tell a cut of that one from an outage.
// Of an idle controller nothing else would ask for minutes.
func (c *Controller) probeStore() {
	if c.storeHealth.shouldProbe(c.loop.Now()) {
		c.rereadShard(c.shards[max(slices.Index(c.config.Nodes, c.config.Self), 0)])
	}
}

// recordStoreOutcome notes the outcome of a request to the store.
func (c *Controller) recordStoreOutcome(o messages.Outcome) {
	c.storeHealth.recordOutcome(c.loop.Now(), o)
	if o == messages.Throttled {
		c.writeQueue.requestBudget.Lower(-1)
	}
}

// isStoreUnavailableFor tells whether the store has not served this node for a while.
func (c *Controller) isStoreUnavailableFor(d cluster.Time) bool {
	return c.storeHealth.isUnavailableFor(c.loop.Now(), d)
}

// readKey reads a key through the request budget's books.
func (c *Controller) readKey(key string, fn func(messages.GetReply)) {
	c.writeQueue.requestBudget.Refill(c.loop.Now())
	c.writeQueue.requestBudget.Spend(1)
	c.counters.Gets++
	c.storeHealth.recordRequest(c.loop.Now())
	c.loop.Emit(messages.StoreGet{Call: eventloop.Call(c.loop, func(r messages.GetReply) {
		c.recordStoreOutcome(r.Outcome)
		fn(r)
	}), Key: key})
}

// listPrefix reads all keys with a prefix.
func (c *Controller) listPrefix(prefix string, fn func(messages.ListReply)) {
	c.writeQueue.requestBudget.Spend(1)
	c.counters.Gets++
	c.storeHealth.recordRequest(c.loop.Now())
	c.loop.Emit(messages.StoreList{Call: eventloop.Call(c.loop, func(r messages.ListReply) {
		c.recordStoreOutcome(r.Outcome)
		fn(r)
	}), Prefix: prefix})
}

// readPrefixSince reads at once what changed under a prefix after a revision.
func (c *Controller) readPrefixSince(prefix string, since cluster.Revision, fn func(messages.WatchReply)) {
	c.writeQueue.requestBudget.Spend(1)
	c.counters.Gets++
	c.loop.Emit(messages.StoreWatch{Call: eventloop.Call(c.loop, fn), Prefix: prefix, SinceRevision: since})
}
