package writequeue

import (
	"cmp"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/ratelimit"
)

const millisecond = cluster.Millisecond

const second = cluster.Second

const (
	// maxTransactionsInFlight is the maximum number of transactions in flight.
	maxTransactionsInFlight = 6
	// backgroundCreditPerPut is the credit for background writes that each put earns.
	// It prevents the starvation of background writes. Most completed tasks are
	// acknowledged to their workers only after a background write. Until then, the
	// heartbeats list them.
	backgroundCreditPerPut = 0.25
	// maxBackgroundCredit limits the credit for background writes.
	maxBackgroundCredit = 2
	// writeReserveShare is the fraction of the request budget's rate at which transactions
	// are sent even while reads have used up the budget. Without it, the reads for frequent
	// queries could delay all writes indefinitely.
	writeReserveShare = 0.25
	// demandSmoothing is the weight of the latest sample in the exponential moving
	// average of the demand.
	demandSmoothing = 0.4
)

// Claim is a shard's claim record as this controller last read or wrote it.
type Claim struct {
	Key         string
	ModRevision cluster.ModRevision
	Owned       bool // by this controller
}

// StoredTransaction describes an applied transaction of a shard. It proves that the
// claim which guarded it, or which it wrote, was in force at SentAt.
type StoredTransaction struct {
	ShardID  cluster.ShardID
	Claim    cluster.ModRevision
	Revision cluster.Revision
	SentAt   cluster.Time
}

// ShardOwnership provides the claims of shards and is notified when a transaction
// shows that a claim is still in force or was replaced.
type ShardOwnership interface {
	// ClaimOf returns a shard's claim.
	ClaimOf(cluster.ShardID) Claim
	// HandleDeposed is called when another controller has acquired a shard.
	HandleDeposed(cluster.ShardID)
	// HandleStored is called after OnApplied was called for the writes of a
	// shard's transaction.
	HandleStored(StoredTransaction)
}

// Config is the configuration of a Queue.
type Config struct {
	// InstanceID is the prefix of all write IDs. It must be unique to this process.
	InstanceID string
	// RequestRPS is the limit on requests per second, shared by all controllers.
	RequestRPS float64
	// WriteRPS is the limit on puts per second, shared by all controllers. If the
	// settings announce a change of the limit, it is the lower one of the limits before
	// and after the change.
	WriteRPS float64
	// CurrentWriteRPS is the limit before an announced change. It is used instead of a
	// lower WriteRPS until the store throttles this controller.
	CurrentWriteRPS float64
	// BudgetShare is the fraction of each limit that the controllers use.
	BudgetShare float64
	// MaxTxnOps is the maximum number of operations of a transaction.
	MaxTxnOps int
	// MaxValueBytes is the maximum size of a value. 0 means that values are much smaller
	// than a transaction.
	MaxValueBytes int
	// Controllers is the number of all controllers.
	Controllers int
	// ShareByDemand returns this controller's share of a limit on puts per second,
	// given its demand in puts per second and the number of live controllers.
	ShareByDemand func(limit, demand float64, liveControllers int) float64
}

// Counters counts the requests sent to the store, the puts in them, and conflicts,
// since the last reset.
type Counters struct {
	PutsByPriority [PriorityCount]int
	Transactions   int
	Puts           int
	Conflicts      int
	Reads          int
}

// Queue sends reads and writes to the store. It delays writes to stay within this
// controller's share of the store's rate limits. Reads count against the share but are
// not delayed. A part of the share is reserved for writes.
//
// A transaction whose outcome is unknown is sent again unchanged. It is conditional
// on the mod revisions of the keys that it sets, so at most one copy of it is
// applied. The write ID in the stored records shows whether a copy was applied.
type Queue struct {
	Health Health

	loop      *eventloop.Loop
	config    Config
	ownership ShardOwnership
	counters  Counters

	queues          [PriorityCount][]*Write
	inFlightKeys    map[string]bool
	inFlight        int
	lastWriteNumber int
	wakeScheduled   bool

	putBudget        ratelimit.TokenBucket
	requestBudget    ratelimit.TokenBucket
	writeReserve     ratelimit.TokenBucket // transactions that may be sent without request budget
	writeRPS         float64               // limit on puts per second, shared by all controllers
	liveControllers  int
	demand           float64 // smoothed, in puts per second
	putsSent         int     // since the last call of MeasureDemand
	backgroundCredit float64
}

// New returns a queue with full budgets. It sends enqueued writes only when Dispatch is
// called.
func New(loop *eventloop.Loop, config Config, ownership ShardOwnership) *Queue {
	q := &Queue{loop: loop, ownership: ownership, inFlightKeys: map[string]bool{}}
	q.Configure(config)
	return q
}

// Configure replaces the configuration and fills the budgets.
func (q *Queue) Configure(config Config) {
	q.config = config
	q.writeRPS = max(config.WriteRPS, config.CurrentWriteRPS)
	q.SetLiveControllers(config.Controllers)
	q.putBudget.Fill()
	q.requestBudget.Fill()
	q.writeReserve.Fill()
}

// SetLiveControllers sets the number of live controllers, which share the limits, and
// adapts the budgets of this controller.
func (q *Queue) SetLiveControllers(live int) {
	q.liveControllers = max(live, 1)
	requests := q.config.RequestRPS * (q.config.BudgetShare / float64(q.liveControllers))
	q.requestBudget.SetRate(requests, requests)
	q.writeReserve.SetRate(requests*writeReserveShare, 1)
	q.divideWriteRate()
}

// LiveControllers returns the number of controllers that share the limits.
func (q *Queue) LiveControllers() int { return q.liveControllers }

// MeasureDemand updates the demand and the share of the write rate that follows from
// it. It must be called once per second.
func (q *Queue) MeasureDemand() {
	want := float64(q.putsSent) + float64(q.Depth())/2
	q.putsSent = 0
	q.demand += demandSmoothing * (want - q.demand)
	q.divideWriteRate()
}

// Demand returns the smoothed number of puts per second that this controller could use.
func (q *Queue) Demand() float64 { return q.demand }

// divideWriteRate sets the rate of the put budget to this controller's share of the
// write rate. The shares follow the demand, because work is spread unevenly over the
// shards. With equal shares, most of the rate would be unused while the starts of one
// shard wait. Controllers learn each other's demand from pings. While their knowledge
// differs, the shares may exceed the limit, and the store throttles the excess.
func (q *Queue) divideWriteRate() {
	rate := q.config.ShareByDemand(q.writeRPS*q.config.BudgetShare, q.demand, q.liveControllers)
	q.putBudget.SetRate(rate, max(rate, float64(q.config.MaxTxnOps)))
}

// PutBudget returns the token bucket that limits the puts of this controller.
func (q *Queue) PutBudget() *ratelimit.TokenBucket { return &q.putBudget }

// SharedWriteRPS returns the limit on puts per second that all controllers share.
func (q *Queue) SharedWriteRPS() float64 { return q.writeRPS }

// Depth returns the number of queued writes.
func (q *Queue) Depth() int {
	depth := 0
	for _, queue := range q.queues {
		depth += len(queue)
	}
	return depth
}

// Queued returns the queued writes of a priority.
func (q *Queue) Queued(priority Priority) []*Write { return q.queues[priority] }

// InFlight returns the number of transactions in flight.
func (q *Queue) InFlight() int { return q.inFlight }

// Counters returns the counters.
func (q *Queue) Counters() Counters { return q.counters }

// TakeCounters returns the counters and resets them.
func (q *Queue) TakeCounters() Counters {
	counters := q.counters
	q.counters = Counters{}
	return counters
}

// Enqueue appends a write to the queue of a priority.
func (q *Queue) Enqueue(priority Priority, write *Write) {
	write.priority, write.queuedAt = priority, q.loop.Now()
	q.queues[priority] = append(q.queues[priority], write)
}

// requeue enqueues a write again after its transaction failed because of another write.
// It lowers the priority by one step, so that the two writes are less likely to fail
// together again. The write of a claim keeps its priority, because writes of lower
// priority are dropped while the shard is not owned.
func (q *Queue) requeue(write *Write) {
	if write.priority == PriorityClaim {
		q.Enqueue(PriorityClaim, write)
		return
	}
	q.Enqueue(min(write.priority+1, PriorityBackground), write)
}

// RaisePriority moves the queued write that key identifies to a higher priority. It
// has no effect if no such write is queued with a lower priority.
func (q *Queue) RaisePriority(key string, priority Priority) {
	for lower := priority + 1; lower < PriorityCount; lower++ {
		for i, write := range q.queues[lower] {
			if write.Keys[0] == key {
				q.queues[lower] = append(q.queues[lower][:i:i], q.queues[lower][i+1:]...)
				q.Enqueue(priority, write)
				return
			}
		}
	}
}

// Cancel removes a write from its queue. It has no effect if the write is not queued.
func (q *Queue) Cancel(write *Write) {
	for priority, queue := range q.queues {
		if i := slices.Index(queue, write); i >= 0 {
			q.queues[priority] = slices.Delete(queue, i, i+1)
			return
		}
	}
}

// DropShard removes the queued writes of a shard whose claim was lost, and calls
// their OnOwnershipLost.
func (q *Queue) DropShard(shard cluster.ShardID) {
	var lost []*Write
	for priority, queue := range q.queues {
		var kept []*Write
		for _, write := range queue {
			if write.ShardID != shard {
				kept = append(kept, write)
			} else if write.OnOwnershipLost != nil {
				lost = append(lost, write)
			}
		}
		q.queues[priority] = kept
	}
	for _, write := range lost { // the callbacks may enqueue writes of other shards
		write.OnOwnershipLost()
	}
}

// sortStarts sorts the writes of starts so that the write budget starts as much work as
// possible. The rank of a write is the time for which it has been queued, multiplied by
// one plus the number of CPUs that wait for it, and divided by its number of keys. The
// highest rank comes first. The rank of a write grows while it is queued, so no write
// starves.
func (q *Queue) sortStarts() {
	queue := q.queues[PriorityStart]
	if len(queue) < 2 || q.putBudget.Level() < 1 {
		return
	}
	rank := make(map[*Write]float64, len(queue))
	for _, write := range queue {
		cpus := 1.0
		if write.CPUsWaiting != nil {
			cpus += write.CPUsWaiting()
		}
		rank[write] = cpus * (q.loop.Now() - write.queuedAt).Seconds() / float64(len(write.Keys))
	}
	slices.SortStableFunc(queue, func(a, b *Write) int { return cmp.Compare(rank[b], rank[a]) })
}

// promoteBackground moves the first background write before the starts if there is
// credit for one write, and resets the credit.
func (q *Queue) promoteBackground() {
	background := q.queues[PriorityBackground]
	if q.backgroundCredit < 1 || len(background) == 0 {
		return
	}
	q.backgroundCredit = 0
	q.queues[PriorityBackground] = background[1:]
	q.queues[PriorityStart] = append([]*Write{background[0]}, q.queues[PriorityStart]...)
}

// Dispatch sends queued writes until the budgets, the maximum number of transactions
// in flight or the keys in flight prevent it.
func (q *Queue) Dispatch() {
	for q.inFlight < maxTransactionsInFlight {
		next := q.nextTransaction()
		if next == nil {
			return
		}
		q.send(next)
	}
}

// wakeAfter starts a timer, unless one is running. When the timer fires, the controller
// runs an event loop step, which calls Dispatch again.
func (q *Queue) wakeAfter(delay cluster.Time) {
	if q.wakeScheduled {
		return
	}
	q.wakeScheduled = true
	q.loop.After(delay, func() { q.wakeScheduled = false })
}

func (q *Queue) send(t *transaction) {
	puts := len(t.operations)
	q.inFlight++
	q.putBudget.Spend(float64(puts))
	q.putsSent += puts
	q.backgroundCredit = min(q.backgroundCredit+backgroundCreditPerPut*float64(puts), maxBackgroundCredit)
	q.requestBudget.Spend(1)
	if t.sendCount++; t.sendCount == 1 {
		t.firstSentAt = q.loop.Now()
	}
	q.counters.Transactions++
	q.counters.Puts += puts
	for priority, n := range t.putsByPriority {
		q.counters.PutsByPriority[priority] += n
	}
	q.Health.recordRequest(q.loop.Now())
	call := eventloop.Call(q.loop, func(reply messages.TxnReply) { q.handleReply(t, reply) })
	q.loop.Emit(messages.StoreTxn{Call: call, If: t.compares, Then: t.operations})
}

// DeleteInBackground enqueues the deletion of a key of a shard, on condition that the
// key still has the given mod revision. The outcome is ignored.
func (q *Queue) DeleteInBackground(shard cluster.ShardID, key string, modRevision cluster.ModRevision) {
	q.Enqueue(PriorityBackground, &Write{
		ShardID: shard,
		Keys:    []string{key},
		Build: func(string) ([]messages.TxnOp, []cluster.ModRevision) {
			return []messages.TxnOp{{Key: key, Value: nil}}, []cluster.ModRevision{modRevision}
		},
		OnApplied:  func(cluster.Revision) {},
		OnConflict: func() {},
	})
}
