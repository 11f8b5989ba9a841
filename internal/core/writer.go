package core

import (
	"cmp"
	"encoding/json"
	"slices"

	"stairrelay/internal/ratelimit"
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
	prio     int // of the queue that it was last added to
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
	core     *Core
	queues   [prios][]*write
	busy     map[string]bool
	inflight int
	seq      int
	puts     ratelimit.TokenBucket
	writeRPS float64 // that the store allows all controllers together, as far as is known
	reqs     ratelimit.TokenBucket
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

func (w *writer) init(c *Core) {
	w.core = c
	w.busy = map[string]bool{}
	w.writeRPS = max(c.cfg.WriteRPS, c.cfg.PresentWriteRPS)
	w.setShare(len(c.cfg.Nodes))
	w.puts.Fill()
	w.reqs.Fill()
}

// setShare divides the store's limits among the controllers that are alive.
func (w *writer) setShare(live int) {
	w.live = max(live, 1)
	requests := w.core.cfg.StoreRPS * (w.core.cfg.Tuning.BudgetShare / float64(w.live))
	w.reqs.SetRate(requests, requests)
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
	c := w.core
	rate := c.shareByNeed(w.writeRPS*c.cfg.Tuning.BudgetShare, w.demand, func(g *Ping) float64 { return g.Puts })
	w.puts.SetRate(rate, max(rate, float64(c.cfg.TxnOps)))
}

func (w *writer) depth() int {
	n := 0
	for i := range w.queues {
		n += len(w.queues[i])
	}
	return n
}

func (w *writer) add(prio int, x *write) {
	x.prio, x.queuedAt = prio, w.core.now
	w.queues[prio] = append(w.queues[prio], x)
}

// requeue adds a write again that was refused because of another in its
// transaction: one step behind, so that the other one does not take it along at
// once. A claim stays a claim, since any other write is dropped while its part
// is not held.
func (w *writer) requeue(x *write) {
	if x.prio == prioClaim {
		w.add(prioClaim, x)
		return
	}
	w.add(min(x.prio+1, prioLazy), x)
}

// orderStarts puts those writes of starts first for which most CPUs have waited
// longest, by put: a record with little to start waits until more can share its
// put. Each ages, so none waits for ever.
func (w *writer) orderStarts() {
	queue := w.queues[prioStart]
	if len(queue) < 2 || w.puts.Level() < 1 {
		return
	}
	rank := make(map[*write]float64, len(queue))
	for _, x := range queue {
		cpus := 1.0
		if x.cpusWaiting != nil {
			cpus += x.cpusWaiting()
		}
		rank[x] = cpus * (w.core.now - x.queuedAt).Seconds() / float64(len(x.keys))
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

// wakeIn has the queues looked at again after a time.
func (w *writer) wakeIn(d Time) {
	if w.wake {
		return
	}
	w.wake = true
	w.core.after(d, func() { w.wake = false })
}

func (w *writer) send(t *txn) {
	c := w.core
	w.inflight++
	w.puts.Spend(float64(len(t.then)))
	w.sent += len(t.then)
	w.credit = min(w.credit+lazyShare*float64(len(t.then)), 2)
	w.reqs.Spend(1)
	if t.tries++; t.tries == 1 {
		t.sentAt = c.now
	}
	c.counters.Txns++
	c.counters.Puts += len(t.then)
	for i, n := range t.kinds {
		c.counters.Kinds[i] += n
	}
	c.storeHealth.sent(c.now)
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
func (w *writer) refund(t *txn) { w.puts.Refund(float64(len(t.then))) }

func (w *writer) retry(t *txn) {
	d := 100 * milli << min(t.tries, 4)
	w.core.after(d, func() {
		w.inflight--
		w.send(t)
	})
}

func (w *writer) answered(t *txn, r TxnReply) {
	c := w.core
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
		c.logf(LogInfo, "store refuses our transaction as malformed", "keys", len(t.then), "first", t.then[0].Key, "writes", len(t.writes))
		for _, x := range t.writes {
			switch {
			case len(t.writes) > 1:
				x.alone = true
				w.add(x.prio, x)
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
	if w.writeRPS > w.core.cfg.WriteRPS {
		w.core.logf(LogInfo, "store refuses the present write rate", "per_second", w.writeRPS, "from_now", w.core.cfg.WriteRPS)
		w.writeRPS = w.core.cfg.WriteRPS
		w.divide()
	}
}

func (w *writer) applied(t *txn, e Epoch) {
	for _, x := range t.writes {
		x.unsure = t.unsure
		x.ok(e)
	}
	if t.part != NoPart { // a claim, or a write on condition of one
		p := w.core.parts[t.part]
		p.storedTxns++
		p.lastStored = max(p.lastStored, e)
		if t.prio == prioClaim {
			w.core.proven(p, Mark(e), t.sentAt)
		} else {
			w.core.proven(p, t.pmark, t.sentAt)
		}
	}
}

// failed sorts the writes of a refused transaction into those whose own keys
// were changed by another, those whose part is lost, and the innocent.
func (w *writer) failed(t *txn, keys []string) {
	c := w.core
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
			w.requeue(x)
		}
	}
}

// readBack finds out whether a transaction that failed on its repetition had
// been applied the first time. It is atomic, so any key that still shows its
// nonce tells; one alone may have been changed since, as a new job's record is
// by the job's owner.
func (w *writer) readBack(t *txn, failed []string) {
	c := w.core
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
