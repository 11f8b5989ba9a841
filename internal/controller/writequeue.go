package controller

import (
	"cmp"
	"encoding/json"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"

	"stairrelay/internal/ratelimit"
)

// Write priorities, most urgent first: the store's write rate is spent in this
// order. Rentals are few, and what waits for them waits for a whole boot.
const (
	priorityAcquire = iota
	priorityScaleOut
	priorityAdmit
	priorityStart
	priorityOutcome
	priorityBackground
	priorityCount
)

// queuedWrite is a change that is built when its turn comes, so that everything that
// happens to a record while it waits shares one put.
type queuedWrite struct {
	shardID cluster.ShardID // its claim guards the write, or NoPart
	keys    []string
	// build returns the changes and the marks their keys must have; nil: no longer wanted.
	build func(nonce string) ([]messages.TxnOp, []cluster.ModRevision)
	// extraCompares holds further conditions, which build may set.
	extraCompares []messages.Compare
	// maxExtraCompares is how many of them build may come to set.
	maxExtraCompares int
	priority         int // of the queue that it was last added to
	queuedAt         cluster.Time
	// cpusWaiting counts the CPUs that stand idle until the write is done; nil: none.
	cpusWaiting func() float64
	onApplied   func(cluster.Revision)
	// inDoubt is set before ok when a late copy may yet come.
	inDoubt bool
	// sendAlone: the store called a transaction with it malformed.
	sendAlone bool
	// onTooLarge is called when the store refuses the write by itself as malformed.
	onTooLarge func()
	// onConflict is called when another writer changed one of the keys.
	onConflict func()
	// onOwnershipLost is called when the part's claim was lost.
	onOwnershipLost func()
}

type transaction struct {
	writes           []*queuedWrite
	priority         int
	writeID          string
	compares         []messages.Compare
	operations       []messages.TxnOp
	inDoubt          bool // an earlier sending may have been, or may yet be, carried out
	sendCount        int
	firstSentAt      cluster.Time       // when it was first sent
	putsByPriority   [priorityCount]int // puts by priority
	shardID          cluster.ShardID
	ownerModRevision cluster.ModRevision // the claim that guards it
}

// writeQueue spends the store's write budget. A transaction whose outcome is
// unknown is sent again unchanged: its conditions on the marks of the keys it
// sets make a late copy harmless, and its nonce shows whether it was applied.
type writeQueue struct {
	controller        *Controller
	queues            [priorityCount][]*queuedWrite
	inFlightKeys      map[string]bool
	inFlight          int
	lastWriteNumber   int
	putBudget         ratelimit.TokenBucket
	writeRPS          float64 // that the store allows all controllers together, as far as is known
	requestBudget     ratelimit.TokenBucket
	wakeScheduled     bool
	liveControllers   int     // controllers that are alive
	demand            float64 // puts a second that this one could use, smoothed
	putsSent          int     // puts since it was last worked out
	backgroundDeficit float64 // of the checkpoint's writes against the more urgent
}

// backgroundShare is how many checkpoint writes go out per more urgent put even when
// those would take the whole rate: what has ended is reaped only after them,
// and reports and records grow until then.
const backgroundShare = 0.25

func (w *writeQueue) init(c *Controller) {
	w.controller = c
	w.inFlightKeys = map[string]bool{}
	w.writeRPS = max(c.config.WriteRPS, c.config.CurrentWriteRPS)
	w.setLiveControllers(len(c.config.Nodes))
	w.putBudget.Fill()
	w.requestBudget.Fill()
}

// setLiveControllers divides the store's limits among the controllers that are alive.
func (w *writeQueue) setLiveControllers(live int) {
	w.liveControllers = max(live, 1)
	requests := w.controller.config.StoreRPS * (w.controller.config.Tuning.RateBudgetShare / float64(w.liveControllers))
	w.requestBudget.SetRate(requests, requests)
	w.divideWriteRate()
}

// measureDemand works out once a second how many puts this controller could use.
func (w *writeQueue) measureDemand() {
	want := float64(w.putsSent) + float64(w.depth())/2
	w.putsSent = 0
	w.demand += 0.4 * (want - w.demand)
	w.divideWriteRate()
}

// divideWriteRate gives each controller its part of the write rate by what it could
// use: teams, and so work, are spread unevenly, and an even division would let
// most of the rate lie idle while one part's starts wait. All know each other's
// demand from their calls; where they differ for a moment the store refuses.
func (w *writeQueue) divideWriteRate() {
	c := w.controller
	rate := c.shareByDemand(w.writeRPS*c.config.Tuning.RateBudgetShare, w.demand, func(g *messages.Ping) float64 { return g.WriteDemand })
	w.putBudget.SetRate(rate, max(rate, float64(c.config.MaxTxnOps)))
}

func (w *writeQueue) depth() int {
	n := 0
	for i := range w.queues {
		n += len(w.queues[i])
	}
	return n
}

func (w *writeQueue) enqueue(prio int, x *queuedWrite) {
	x.priority, x.queuedAt = prio, w.controller.loop.Now()
	w.queues[prio] = append(w.queues[prio], x)
}

// requeue adds a write again that was refused because of another in its
// transaction: one step behind, so that the other one does not take it along at
// once. A claim stays a claim, since any other write is dropped while its part
// is not held.
func (w *writeQueue) requeue(x *queuedWrite) {
	if x.priority == priorityAcquire {
		w.enqueue(priorityAcquire, x)
		return
	}
	w.enqueue(min(x.priority+1, priorityBackground), x)
}

// sortStarts puts those writes of starts first for which most CPUs have waited
// longest, by put: a record with little to start waits until more can share its
// put. Each ages, so none waits for ever.
func (w *writeQueue) sortStarts() {
	queue := w.queues[priorityStart]
	if len(queue) < 2 || w.putBudget.Level() < 1 {
		return
	}
	rank := make(map[*queuedWrite]float64, len(queue))
	for _, x := range queue {
		cpus := 1.0
		if x.cpusWaiting != nil {
			cpus += x.cpusWaiting()
		}
		rank[x] = cpus * (w.controller.loop.Now() - x.queuedAt).Seconds() / float64(len(x.keys))
	}
	slices.SortStableFunc(queue, func(a, b *queuedWrite) int { return cmp.Compare(rank[b], rank[a]) })
}

// cancel takes back a write whose turn has not come.
func (w *writeQueue) cancel(x *queuedWrite) {
	for i, q := range w.queues {
		if k := slices.Index(q, x); k >= 0 {
			w.queues[i] = slices.Delete(q, k, k+1)
			return
		}
	}
}

const maxTransactionsInFlight = 6

// dropShard forgets the queued writes of a claim that was lost.
func (w *writeQueue) dropShard(p cluster.ShardID) {
	var lost []*queuedWrite
	for i, q := range w.queues {
		var rest []*queuedWrite
		for _, x := range q {
			if x.shardID != p {
				rest = append(rest, x)
			} else if x.onOwnershipLost != nil {
				lost = append(lost, x)
			}
		}
		w.queues[i] = rest
	}
	for _, x := range lost { // these may add writes of other parts
		x.onOwnershipLost()
	}
}

// dispatch sends what the budget and the keys in flight allow.
func (w *writeQueue) dispatch() {
	for w.inFlight < maxTransactionsInFlight {
		t := w.nextTransaction()
		if t == nil {
			return
		}
		w.send(t)
	}
}

// wakeAfter has the queues looked at again after a time.
func (w *writeQueue) wakeAfter(d cluster.Time) {
	if w.wakeScheduled {
		return
	}
	w.wakeScheduled = true
	w.controller.loop.After(d, func() { w.wakeScheduled = false })
}

func (w *writeQueue) send(t *transaction) {
	c := w.controller
	w.inFlight++
	w.putBudget.Spend(float64(len(t.operations)))
	w.putsSent += len(t.operations)
	w.backgroundDeficit = min(w.backgroundDeficit+backgroundShare*float64(len(t.operations)), 2)
	w.requestBudget.Spend(1)
	if t.sendCount++; t.sendCount == 1 {
		t.firstSentAt = c.loop.Now()
	}
	c.counters.Transactions++
	c.counters.Puts += len(t.operations)
	for i, n := range t.putsByPriority {
		c.counters.PutsByPriority[i] += n
	}
	c.storeHealth.recordRequest(c.loop.Now())
	c.loop.Emit(messages.StoreTxn{Call: eventloop.Call(c.loop, func(reply messages.TxnReply) { w.handleReply(t, reply) }), If: t.compares, Then: t.operations})
}

func (w *writeQueue) finish(t *transaction) {
	w.inFlight--
	for _, o := range t.operations {
		delete(w.inFlightKeys, o.Key)
	}
}

// refund gives back what a sending took that is going to be repeated. Charged
// for each, a controller that was cut from the store for half a minute came back
// with a debt of hundreds of puts and stored no submission for a minute.
func (w *writeQueue) refund(t *transaction) { w.putBudget.Refund(float64(len(t.operations))) }

func (w *writeQueue) retry(t *transaction) {
	d := 100 * millisecond << min(t.sendCount, 4)
	w.controller.loop.After(d, func() {
		w.inFlight--
		w.send(t)
	})
}

func (w *writeQueue) handleReply(t *transaction, r messages.TxnReply) {
	c := w.controller
	c.recordStoreOutcome(r.Outcome)
	switch r.Outcome {
	case messages.OK:
		w.finish(t)
		w.handleApplied(t, r.Revision)
	case messages.Conflict:
		c.counters.Conflicts++
		if t.inDoubt {
			w.resolveInDoubt(t, r.FailedKeys)
			return
		}
		w.finish(t)
		w.handleConflict(t, r.FailedKeys)
	case messages.Throttled, messages.NotApplied:
		if r.Outcome == messages.Throttled {
			w.lowerWriteRate()
		}
		w.refund(t) // not carried out: it cost nothing
		w.retry(t)
	case messages.Invalid:
		// Perhaps the store's limits were lowered and one of its records is too
		// large. Each is built anew, by itself, so that this one shows.
		w.finish(t)
		c.loop.Log(messages.LogInfo, "store refuses our transaction as malformed", "keys", len(t.operations), "first", t.operations[0].Key, "writes", len(t.writes))
		for _, x := range t.writes {
			switch {
			case len(t.writes) > 1:
				x.sendAlone = true
				w.enqueue(x.priority, x)
			case x.onTooLarge != nil:
				x.onTooLarge()
			default:
				x.onConflict()
			}
		}
	default:
		t.inDoubt = true
		w.refund(t)
		w.retry(t)
	}
}

// lowerWriteRate keeps to the lower of the limits that the settings name, once the
// store has refused more than that.
func (w *writeQueue) lowerWriteRate() {
	if w.writeRPS > w.controller.config.WriteRPS {
		w.controller.loop.Log(messages.LogInfo, "store refuses the present write rate", "per_second", w.writeRPS, "from_now", w.controller.config.WriteRPS)
		w.writeRPS = w.controller.config.WriteRPS
		w.divideWriteRate()
	}
}

func (w *writeQueue) handleApplied(t *transaction, e cluster.Revision) {
	for _, x := range t.writes {
		x.inDoubt = t.inDoubt
		x.onApplied(e)
	}
	if t.shardID != cluster.NoShard { // a claim, or a write on condition of one
		p := w.controller.shards[t.shardID]
		p.storedTransactions++
		p.lastStoredRevision = max(p.lastStoredRevision, e)
		if t.priority == priorityAcquire {
			w.controller.recordConfirmation(p, cluster.ModRevision(e), t.firstSentAt)
		} else {
			w.controller.recordConfirmation(p, t.ownerModRevision, t.firstSentAt)
		}
	}
}

// handleConflict sorts the writes of a refused transaction into those whose own keys
// were changed by another, those whose part is lost, and the innocent.
func (w *writeQueue) handleConflict(t *transaction, keys []string) {
	c := w.controller
	bad := map[string]bool{}
	for _, k := range keys {
		bad[k] = true
	}
	fenced := t.ownerModRevision != 0 && bad[c.shards[t.shardID].key()]
	// A transaction of an earlier claim may come back after a new one.
	if p := t.shardID; fenced && c.shards[p].owned && c.shards[p].modRevision == t.ownerModRevision {
		c.handleDeposed(p)
	}
	for _, x := range t.writes {
		if fenced && x.shardID == t.shardID {
			if x.onOwnershipLost != nil {
				x.onOwnershipLost()
			}
			continue
		}
		hit := false
		for _, k := range x.keys {
			hit = hit || bad[k]
		}
		for _, o := range x.extraCompares {
			hit = hit || bad[o.Key]
		}
		if hit {
			x.onConflict()
		} else {
			w.requeue(x)
		}
	}
}

// resolveInDoubt finds out whether a transaction that failed on its repetition had
// been applied the first time. It is atomic, so any key that still shows its
// nonce tells; one alone may have been changed since, as a new job's record is
// by the job's owner.
func (w *writeQueue) resolveInDoubt(t *transaction, failed []string) {
	c := w.controller
	var keys []string
	for _, o := range t.operations {
		if o.Value != nil {
			keys = append(keys, o.Key)
		}
	}
	var next func(i int)
	next = func(i int) {
		if i == len(keys) {
			w.finish(t)
			w.handleConflict(t, failed)
			return
		}
		c.readKey(keys[i], func(r messages.GetReply) {
			switch {
			case r.Outcome == messages.OK && writeIDOf(r.KV.Value) == t.writeID:
				w.finish(t)
				w.handleApplied(t, cluster.Revision(r.KV.ModRevision))
			case r.Outcome == messages.OK || r.Outcome == messages.NotFound:
				next(i + 1)
			default:
				c.loop.After(300*millisecond, func() { next(i) })
			}
		})
	}
	next(0)
}

func writeIDOf(v []byte) string {
	var x struct {
		W string `json:"w"`
	}
	if json.Unmarshal(v, &x) != nil {
		return ""
	}
	return x.W
}
