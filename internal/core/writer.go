package core

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
)

// Write priorities, most urgent first: the store's write rate is spent in this
// order. Rentals are few, and what waits for them waits for a whole boot.
const (
	prioClaim = iota
	prioRent
	prioAccept
	prioStart
	prioDone
	prioLazy
	prios
)

// write is a change that is built when its turn comes, so that everything that
// happens to a record while it waits shares one put.
type write struct {
	part Part // its claim guards the write, or NoPart
	keys []string
	// build returns the changes and the marks their keys must have; nil: no longer wanted.
	build func(nonce string) ([]TxnOp, []Mark)
	// also holds further conditions, which build may set.
	also []Cond
	// mostAlso is how many of them build may come to set.
	mostAlso int
	queuedAt Time
	// cpusWaiting counts the CPUs that stand idle until the write is done; nil: none.
	cpusWaiting func() float64
	ok          func(Epoch)
	// unsure is set before ok when a late copy may yet come.
	unsure bool
	// alone: the store called a transaction with it malformed.
	alone bool
	// tooLarge is called when the store refuses the write by itself as malformed.
	tooLarge func()
	// conflict is called when another writer changed one of the keys.
	conflict func()
	// lost is called when the part's claim was lost.
	lost func()
}

type txn struct {
	writes []*write
	prio   int
	nonce  string
	when   []Cond
	then   []TxnOp
	unsure bool // an earlier sending may have been, or may yet be, carried out
	tries  int
	sentAt Time       // when it was first sent
	kinds  [prios]int // puts by priority
	part   Part
	pmark  Mark // the claim that guards it
}

// writer spends the store's write budget. A transaction whose outcome is
// unknown is sent again unchanged: its conditions on the marks of the keys it
// sets make a late copy harmless, and its nonce shows whether it was applied.
type writer struct {
	c        *Core
	queues   [prios][]*write
	busy     map[string]bool
	inflight int
	seq      int
	puts     bucket
	writeRPS float64 // that the store allows all controllers together, as far as is known
	reqs     bucket
	wake     bool
	live     int     // controllers that are alive
	demand   float64 // puts a second that this one could use, smoothed
	sent     int     // puts since it was last worked out
	credit   float64 // of the checkpoint's writes against the more urgent
}

// lazyShare is how many checkpoint writes go out per more urgent put even when
// those would take the whole rate: what has ended is reaped only after them,
// and reports and records grow until then.
const lazyShare = 0.25

type storeHealth struct {
	lastOK  Time
	failing bool
	since   Time // of the failing
	okSince Time
	waiting int  // requests without an answer yet, but for watches
	quiet   Time // since when there have been some and none was answered
}

func (w *writer) init(c *Core) {
	w.c = c
	w.busy = map[string]bool{}
	w.writeRPS = max(c.cfg.WriteRPS, c.cfg.PresentWriteRPS)
	w.setShare(len(c.cfg.Nodes))
	w.puts.have, w.reqs.have = w.puts.cap, w.reqs.cap
}

// setShare divides the store's limits among the controllers that are alive.
func (w *writer) setShare(live int) {
	w.live = max(live, 1)
	f := w.c.cfg.Tuning.BudgetShare / float64(w.live)
	w.reqs.rate, w.reqs.cap = w.c.cfg.StoreRPS*f, w.c.cfg.StoreRPS*f
	w.divide()
}

// measure works out once a second how many puts this controller could use.
func (w *writer) measure() {
	want := float64(w.sent) + float64(w.depth())/2
	w.sent = 0
	w.demand += 0.4 * (want - w.demand)
	w.divide()
}

// divide gives each controller its part of the write rate by what it could
// use: teams, and so work, are spread unevenly, and an even division would let
// most of the rate lie idle while one part's starts wait. All know each other's
// demand from their calls; where they differ for a moment the store refuses.
func (w *writer) divide() {
	c := w.c
	w.puts.rate = c.shareByNeed(w.writeRPS*c.cfg.Tuning.BudgetShare, w.demand, func(g *Ping) float64 { return g.Puts })
	w.puts.cap = max(w.puts.rate, float64(c.cfg.TxnOps))
}

func (w *writer) depth() int {
	n := 0
	for i := range w.queues {
		n += len(w.queues[i])
	}
	return n
}

func (w *writer) add(prio int, x *write) {
	x.queuedAt = w.c.now
	w.queues[prio] = append(w.queues[prio], x)
}

// orderStarts puts those writes of starts first for which most CPUs have waited
// longest, by put: a record with little to start waits until more can share its
// put. Each ages, so none waits for ever.
func (w *writer) orderStarts() {
	queue := w.queues[prioStart]
	if len(queue) < 2 || w.puts.have < 1 {
		return
	}
	rank := make(map[*write]float64, len(queue))
	for _, x := range queue {
		cpus := 1.0
		if x.cpusWaiting != nil {
			cpus += x.cpusWaiting()
		}
		rank[x] = cpus * (w.c.now - x.queuedAt).seconds() / float64(len(x.keys))
	}
	slices.SortStableFunc(queue, func(a, b *write) int { return cmp.Compare(rank[b], rank[a]) })
}

// cancel takes back a write whose turn has not come.
func (w *writer) cancel(x *write) {
	for i, q := range w.queues {
		if k := slices.Index(q, x); k >= 0 {
			w.queues[i] = slices.Delete(q, k, k+1)
			return
		}
	}
}

const maxInflight = 6

// dropPart forgets the queued writes of a claim that was lost.
func (w *writer) dropPart(p Part) {
	var lost []*write
	for i, q := range w.queues {
		var rest []*write
		for _, x := range q {
			if x.part != p {
				rest = append(rest, x)
			} else if x.lost != nil {
				lost = append(lost, x)
			}
		}
		w.queues[i] = rest
	}
	for _, x := range lost { // these may add writes of other parts
		x.lost()
	}
}

// pump sends what the budget and the keys in flight allow.
func (w *writer) pump() {
	for w.inflight < maxInflight {
		t := w.gather()
		if t == nil {
			return
		}
		w.send(t)
	}
}

func (w *writer) gather() *txn {
	c := w.c
	w.puts.refill(c.now)
	w.reqs.refill(c.now)
	if w.depth() == 0 {
		return nil
	}
	if w.reqs.have < 1 {
		w.wakeIn(second / 20)
		return nil
	}
	w.orderStarts()
	if q := w.queues[prioLazy]; w.credit >= 1 && len(q) > 0 {
		w.credit = 0
		w.queues[prioLazy] = q[1:]
		w.queues[prioStart] = append([]*write{q[0]}, w.queues[prioStart]...)
	}
	w.seq++
	t := &txn{nonce: c.cfg.Boot + "-" + strconv.Itoa(w.seq), part: NoPart, prio: prios}
	budget, bytes := w.puts.have, 0
	used := map[string]bool{}
	for prio := 0; prio < prios; prio++ {
		// Checkpoint writes leave some of the budget to what may come next.
		if prio == prioLazy && budget < w.puts.cap/3 {
			if len(w.queues[prio]) > 0 {
				w.wakeIn(second / 10)
			}
			break
		}
		q := w.queues[prio]
		w.queues[prio] = nil // what a build adds comes behind the rest
		var rest []*write
		for i, x := range q {
			if len(t.then) >= c.cfg.TxnOps || t.prio != prios && prio > max(t.prio, prioAccept)+1 {
				rest = append(rest, q[i:]...)
				break
			}
			if float64(len(x.keys)) > budget {
				w.wakeIn(second / 10)
				rest = append(rest, q[i:]...)
				break
			}
			clash := x.part != NoPart && t.part != NoPart && x.part != t.part || len(t.then)+len(x.keys) > c.cfg.TxnOps ||
				len(t.when)+len(x.keys)+max(x.mostAlso, len(x.also))+1 > condsPerOp*c.cfg.TxnOps ||
				len(t.writes) > 0 && (x.alone || t.writes[0].alone)
			for _, k := range x.keys {
				clash = clash || w.busy[k] || used[k]
			}
			if clash || bytes > 40_000 {
				rest = append(rest, x)
				continue
			}
			// Without the claim there is no mark of ours to make the write
			// conditional on: the one in the books is the new holder's.
			if x.part != NoPart && prio != prioClaim && !c.parts[x.part].held {
				if x.lost != nil {
					x.lost()
				}
				continue
			}
			ops, marks := x.build(t.nonce)
			if ops == nil {
				continue
			}
			for j, op := range ops {
				t.when = append(t.when, Cond{op.Key, marks[j]})
				used[op.Key] = true
				bytes += len(op.Value) + len(op.Key) + 80
			}
			t.then = append(t.then, ops...)
			t.when = append(t.when, x.also...)
			t.kinds[prio] += len(ops)
			t.writes = append(t.writes, x)
			budget -= float64(len(ops))
			if x.part != NoPart {
				t.part = x.part
			}
			if prio < t.prio {
				t.prio = prio
			}
		}
		w.queues[prio] = append(rest, w.queues[prio]...)
	}
	if len(t.writes) == 0 {
		return nil
	}
	if t.part != NoPart && t.prio != prioClaim {
		p := c.parts[t.part]
		t.pmark = p.mark
		t.when = append(t.when, Cond{p.key(), p.mark})
	}
	for k := range used {
		w.busy[k] = true
	}
	return t
}

// condsPerOp is how many conditions the protocol allows per change that a
// transaction may make.
const condsPerOp = 4

func (w *writer) wakeIn(d Time) {
	if w.wake {
		return
	}
	w.wake = true
	w.c.after(d, func() { w.wake = false })
}

func (w *writer) send(t *txn) {
	c := w.c
	w.inflight++
	w.puts.have -= float64(len(t.then))
	w.sent += len(t.then)
	w.credit = min(w.credit+lazyShare*float64(len(t.then)), 2)
	w.reqs.have--
	if t.tries++; t.tries == 1 {
		t.sentAt = c.now
	}
	c.counters.Txns++
	c.counters.Puts += len(t.then)
	for i, n := range t.kinds {
		c.counters.Kinds[i] += n
	}
	c.storeAsked()
	c.emit(StoreTxn{Call: c.call(func(b any) { w.answered(t, b.(TxnReply)) }), When: t.when, Then: t.then})
}

func (w *writer) finish(t *txn) {
	w.inflight--
	for _, o := range t.then {
		delete(w.busy, o.Key)
	}
}

// refund gives back what a sending took that is going to be repeated. Charged
// for each, a controller that was cut from the store for half a minute came back
// with a debt of hundreds of puts and stored no submission for a minute.
func (w *writer) refund(t *txn) { w.puts.have = min(w.puts.have+float64(len(t.then)), w.puts.cap) }

func (w *writer) retry(t *txn) {
	d := 100 * milli << min(t.tries, 4)
	w.c.after(d, func() {
		w.inflight--
		w.send(t)
	})
}

func (w *writer) answered(t *txn, r TxnReply) {
	c := w.c
	c.storeResult(r.Out)
	switch r.Out {
	case OK:
		w.finish(t)
		w.applied(t, r.Epoch)
	case Conflict:
		c.counters.Conflicts++
		if t.unsure {
			w.readBack(t, r.Failed)
			return
		}
		w.finish(t)
		w.failed(t, r.Failed)
	case Throttled, NotDone:
		if r.Out == Throttled {
			w.rateRefused()
		}
		w.refund(t) // not carried out: it cost nothing
		w.retry(t)
	case Invalid:
		// Perhaps the store's limits were lowered and one of its records is too
		// large. Each is built anew, by itself, so that this one shows.
		w.finish(t)
		c.logf("info", "store refuses our transaction as malformed", "keys", len(t.then), "first", t.then[0].Key, "writes", len(t.writes))
		for _, x := range t.writes {
			switch {
			case len(t.writes) > 1:
				x.alone = true
				w.add(t.prio, x)
			case x.tooLarge != nil:
				x.tooLarge()
			default:
				x.conflict()
			}
		}
	default:
		t.unsure = true
		w.refund(t)
		w.retry(t)
	}
}

// rateRefused keeps to the lower of the limits that the settings name, once the
// store has refused more than that.
func (w *writer) rateRefused() {
	if w.writeRPS > w.c.cfg.WriteRPS {
		w.c.logf("info", "store refuses the present write rate", "per_second", w.writeRPS, "from_now", w.c.cfg.WriteRPS)
		w.writeRPS = w.c.cfg.WriteRPS
		w.divide()
	}
}

func (w *writer) applied(t *txn, e Epoch) {
	for _, x := range t.writes {
		x.unsure = t.unsure
		x.ok(e)
	}
	if t.part != NoPart { // a claim, or a write on condition of one
		p := w.c.parts[t.part]
		if t.prio == prioClaim {
			w.c.proven(p, Mark(e), t.sentAt)
		} else {
			w.c.proven(p, t.pmark, t.sentAt)
		}
	}
}

// failed sorts the writes of a refused transaction into those whose own keys
// were changed by another, those whose part is lost, and the innocent.
func (w *writer) failed(t *txn, keys []string) {
	c := w.c
	bad := map[string]bool{}
	for _, k := range keys {
		bad[k] = true
	}
	fenced := t.pmark != 0 && bad[c.parts[t.part].key()]
	// A transaction of an earlier claim may come back after a new one.
	if p := t.part; fenced && c.parts[p].held && c.parts[p].mark == t.pmark {
		c.fenced(p)
	}
	for _, x := range t.writes {
		if fenced && x.part == t.part {
			if x.lost != nil {
				x.lost()
			}
			continue
		}
		hit := false
		for _, k := range x.keys {
			hit = hit || bad[k]
		}
		for _, o := range x.also {
			hit = hit || bad[o.Key]
		}
		if hit {
			x.conflict()
		} else {
			w.add(min(t.prio+1, prioLazy), x)
		}
	}
}

// readBack finds out whether a transaction that failed on its repetition had
// been applied the first time. It is atomic, so any key that still shows its
// nonce tells; one alone may have been changed since, as a new job's record is
// by the job's owner.
func (w *writer) readBack(t *txn, failed []string) {
	c := w.c
	var keys []string
	for _, o := range t.then {
		if o.Value != nil {
			keys = append(keys, o.Key)
		}
	}
	var next func(i int)
	next = func(i int) {
		if i == len(keys) {
			w.finish(t)
			w.failed(t, failed)
			return
		}
		c.get(keys[i], func(r GetReply) {
			switch {
			case r.Out == OK && nonceOf(r.KV.Value) == t.nonce:
				w.finish(t)
				w.applied(t, Epoch(r.KV.Mark))
			case r.Out == OK || r.Out == Missing:
				next(i + 1)
			default:
				c.after(300*milli, func() { next(i) })
			}
		})
	}
	next(0)
}

func nonceOf(v []byte) string {
	var x struct {
		W string `json:"w"`
	}
	if json.Unmarshal(v, &x) != nil {
		return ""
	}
	return x.W
}

// get reads a key through the request budget's books.
func (c *Core) get(key string, fn func(GetReply)) {
	c.w.reqs.refill(c.now)
	c.w.reqs.have--
	c.counters.Gets++
	c.storeAsked()
	c.emit(StoreGet{Call: c.call(func(b any) {
		r := b.(GetReply)
		c.storeResult(r.Out)
		fn(r)
	}), Key: key})
}

func (c *Core) list(prefix string, fn func(ListReply)) {
	c.w.reqs.have--
	c.counters.Gets++
	c.storeAsked()
	c.emit(StoreList{Call: c.call(func(b any) {
		r := b.(ListReply)
		c.storeResult(r.Out)
		fn(r)
	}), Prefix: prefix})
}

// storeAsked notes a request that the store should answer soon.
func (c *Core) storeAsked() {
	if c.storeUp.waiting++; c.storeUp.waiting == 1 {
		c.storeUp.quiet = c.now
	}
}

// storeSilent tells whether the store owes answers and has given none for
// longer than the slow ones take. A cut that holds packets shows so long before
// any request is given up, and on a controller that asks for little only now.
func (c *Core) storeSilent() bool {
	return c.storeLost(second/4) || c.storeUp.waiting > 0 && c.now-c.storeUp.quiet > storeSlow
}

// storeSlow is well above the few hundred milliseconds that some answers take.
const storeSlow = 600 * milli

func (c *Core) storeResult(o Outcome) {
	c.storeUp.waiting, c.storeUp.quiet = c.storeUp.waiting-1, c.now
	switch o {
	case NotDone, Unknown:
		if !c.storeUp.failing {
			c.storeUp.failing, c.storeUp.since = true, c.now
		}
	case Throttled:
		c.w.reqs.have = min(c.w.reqs.have, -1)
	default:
		if c.storeUp.failing || c.storeUp.lastOK == 0 || c.now-c.storeUp.lastOK > 3*second {
			c.storeUp.okSince = c.now
		}
		c.storeUp.failing = false
		c.storeUp.lastOK = c.now
	}
}

// storeLost tells whether the store has not served this node for a while.
func (c *Core) storeLost(d Time) bool {
	return c.storeUp.failing && c.now-c.storeUp.since > d
}
