package core

import "slices"

// storeHealth tells whether the store serves this node.
//
// While failing, failingSince is when the first of the failures in a row came;
// while not, servedSince is when the present run of answers began. inFlight
// counts the requests sent that have no answer yet.
type storeHealth struct {
	lastSuccess     Time // 0: not once
	failing         bool
	failingSince    Time
	healthySince    Time
	inFlight        int  // but for watches
	unansweredSince Time // since when there have been some and none was answered
	probeUntil      Time // the store is asked until then, though nothing is wanted of it
}

// storeSlow is well above the few hundred milliseconds that some answers take.
const storeSlowThreshold = 600 * millisecond

// sent notes a request that the store should answer soon.
func (s *storeHealth) recordRequest(now Time) {
	if s.inFlight++; s.inFlight == 1 {
		s.unansweredSince = now
	}
}

// answered notes the outcome of such a request.
func (s *storeHealth) recordOutcome(now Time, o Outcome) {
	s.inFlight, s.unansweredSince = s.inFlight-1, now
	switch o {
	case NotApplied, UnknownOutcome:
		if !s.failing {
			s.failing, s.failingSince = true, now
		}
	case Throttled:
	default:
		if s.failing || s.lastSuccess == 0 || now-s.lastSuccess > 3*second {
			s.healthySince = now
		}
		s.failing = false
		s.lastSuccess = now
	}
}

// lost tells whether the store has not served this node for longer than a time.
func (s *storeHealth) isUnavailableFor(now, d Time) bool { return s.failing && now-s.failingSince > d }

// steady tells whether the store has served this node all along until now.
func (s *storeHealth) isStable(now Time) bool {
	return !s.failing && s.lastSuccess > 0 && now-s.lastSuccess < 3*second/2 && now-s.healthySince > 3*second
}

// silent tells whether the store owes answers and has given none for longer
// than the slow ones take. A cut that holds packets shows so long before any
// request is given up, and on a controller that asks for little only now.
func (s *storeHealth) isUnresponsive(now Time) bool {
	return s.isUnavailableFor(now, second/4) || s.inFlight > 0 && now-s.unansweredSince > storeSlowThreshold
}

// probing tells whether the store should be asked for nothing but an answer.
func (s *storeHealth) shouldProbe(now Time) bool {
	return (s.failing || now < s.probeUntil) && s.inFlight == 0
}

// askStore keeps in touch with the store while it matters whether it serves
// this controller: while it does not, to know when it does again, and while
// another says that it has lost it, to tell a cut of that one from an outage.
// Of an idle controller nothing else would ask for minutes.
func (c *Controller) probeStore() {
	if c.storeHealth.shouldProbe(c.now) {
		c.rereadShard(c.shards[max(slices.Index(c.config.Nodes, c.config.Self), 0)])
	}
}

// storeResult notes the outcome of a request to the store.
func (c *Controller) recordStoreOutcome(o Outcome) {
	c.storeHealth.recordOutcome(c.now, o)
	if o == Throttled {
		c.writeQueue.requestBudget.Lower(-1)
	}
}

// storeLost tells whether the store has not served this node for a while.
func (c *Controller) isStoreUnavailableFor(d Time) bool {
	return c.storeHealth.isUnavailableFor(c.now, d)
}

// get reads a key through the request budget's books.
func (c *Controller) readKey(key string, fn func(GetReply)) {
	c.writeQueue.requestBudget.Refill(c.now)
	c.writeQueue.requestBudget.Spend(1)
	c.counters.Gets++
	c.storeHealth.recordRequest(c.now)
	c.emit(StoreGet{Call: c.registerCall(func(b any) {
		r := b.(GetReply)
		c.recordStoreOutcome(r.Outcome)
		fn(r)
	}), Key: key})
}

// list reads all keys with a prefix.
func (c *Controller) listPrefix(prefix string, fn func(ListReply)) {
	c.writeQueue.requestBudget.Spend(1)
	c.counters.Gets++
	c.storeHealth.recordRequest(c.now)
	c.emit(StoreList{Call: c.registerCall(func(b any) {
		r := b.(ListReply)
		c.recordStoreOutcome(r.Outcome)
		fn(r)
	}), Prefix: prefix})
}

// readSince reads at once what changed under a prefix after a revision.
func (c *Controller) readPrefixSince(prefix string, since Revision, fn func(WatchReply)) {
	c.writeQueue.requestBudget.Spend(1)
	c.counters.Gets++
	c.emit(StoreWatch{Call: c.registerCall(func(b any) { fn(b.(WatchReply)) }), Prefix: prefix, SinceRevision: since})
}
