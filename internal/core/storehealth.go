package core

import "slices"

// storeHealth tells whether the store serves this node.
//
// While failing, failingSince is when the first of the failures in a row came;
// while not, servedSince is when the present run of answers began. inFlight
// counts the requests sent that have no answer yet.
type storeHealth struct {
	lastOK       Time // 0: not once
	failing      bool
	failingSince Time
	servedSince  Time
	inFlight     int  // but for watches
	quietSince   Time // since when there have been some and none was answered
	probeUntil   Time // the store is asked until then, though nothing is wanted of it
}

// storeSlow is well above the few hundred milliseconds that some answers take.
const storeSlow = 600 * milli

// sent notes a request that the store should answer soon.
func (s *storeHealth) sent(now Time) {
	if s.inFlight++; s.inFlight == 1 {
		s.quietSince = now
	}
}

// answered notes the outcome of such a request.
func (s *storeHealth) answered(now Time, o Outcome) {
	s.inFlight, s.quietSince = s.inFlight-1, now
	switch o {
	case NotDone, Unknown:
		if !s.failing {
			s.failing, s.failingSince = true, now
		}
	case Throttled:
	default:
		if s.failing || s.lastOK == 0 || now-s.lastOK > 3*second {
			s.servedSince = now
		}
		s.failing = false
		s.lastOK = now
	}
}

// lost tells whether the store has not served this node for longer than a time.
func (s *storeHealth) lost(now, d Time) bool { return s.failing && now-s.failingSince > d }

// steady tells whether the store has served this node all along until now.
func (s *storeHealth) steady(now Time) bool {
	return !s.failing && s.lastOK > 0 && now-s.lastOK < 3*second/2 && now-s.servedSince > 3*second
}

// silent tells whether the store owes answers and has given none for longer
// than the slow ones take. A cut that holds packets shows so long before any
// request is given up, and on a controller that asks for little only now.
func (s *storeHealth) silent(now Time) bool {
	return s.lost(now, second/4) || s.inFlight > 0 && now-s.quietSince > storeSlow
}

// probing tells whether the store should be asked for nothing but an answer.
func (s *storeHealth) probing(now Time) bool {
	return (s.failing || now < s.probeUntil) && s.inFlight == 0
}

// askStore keeps in touch with the store while it matters whether it serves
// this controller: while it does not, to know when it does again, and while
// another says that it has lost it, to tell a cut of that one from an outage.
// Of an idle controller nothing else would ask for minutes.
func (c *Core) askStore() {
	if c.storeHealth.probing(c.now) {
		c.rereadPart(c.parts[max(slices.Index(c.cfg.Nodes, c.cfg.Self), 0)])
	}
}

// storeResult notes the outcome of a request to the store.
func (c *Core) storeResult(o Outcome) {
	c.storeHealth.answered(c.now, o)
	if o == Throttled {
		c.writer.reqs.Lower(-1)
	}
}

// storeLost tells whether the store has not served this node for a while.
func (c *Core) storeLost(d Time) bool { return c.storeHealth.lost(c.now, d) }

// get reads a key through the request budget's books.
func (c *Core) get(key string, fn func(GetReply)) {
	c.writer.reqs.Refill(c.now)
	c.writer.reqs.Spend(1)
	c.counters.Gets++
	c.storeHealth.sent(c.now)
	c.emit(StoreGet{Call: c.call(func(b any) {
		r := b.(GetReply)
		c.storeResult(r.Out)
		fn(r)
	}), Key: key})
}

// list reads all keys with a prefix.
func (c *Core) list(prefix string, fn func(ListReply)) {
	c.writer.reqs.Spend(1)
	c.counters.Gets++
	c.storeHealth.sent(c.now)
	c.emit(StoreList{Call: c.call(func(b any) {
		r := b.(ListReply)
		c.storeResult(r.Out)
		fn(r)
	}), Prefix: prefix})
}

// readSince reads at once what changed under a prefix after a revision.
func (c *Core) readSince(prefix string, since Epoch, fn func(WatchReply)) {
	c.writer.reqs.Spend(1)
	c.counters.Gets++
	c.emit(StoreWatch{Call: c.call(func(b any) { fn(b.(WatchReply)) }), Prefix: prefix, Since: since})
}
