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
	// maxTransactionsInFlight bounds the transactions that wait for their answers.
	maxTransactionsInFlight = 6
	// backgroundShare is how many background writes go out for each more urgent
	// put even when those would take the whole rate: ended tasks are acknowledged
	// only after them, and heartbeats and records grow until then.
	backgroundShare = 0.25
	// maxBackgroundDeficit bounds the background writes that are owed after a
	// time without any.
	maxBackgroundDeficit = 2
	// demandSmoothing is the weight of the last second in the smoothed demand.
	demandSmoothing = 0.4
)

// Claim is a shard's claim record as this controller last saw it.
type Claim struct {
	Key         string
	ModRevision cluster.ModRevision
	Owned       bool // by this controller
}

// StoredTransaction says that a transaction of a shard was carried out, so that
// the claim which guarded it, or which it made, was in force when it was sent.
type StoredTransaction struct {
	ShardID  cluster.ShardID
	Claim    cluster.ModRevision
	Revision cluster.Revision
	SentAt   cluster.Time
}

// ShardOwnership is what the queue needs of the shards' ownership.
type ShardOwnership interface {
	// ClaimOf returns a shard's claim.
	ClaimOf(cluster.ShardID) Claim
	// HandleDeposed is called when another controller has acquired a shard.
	HandleDeposed(cluster.ShardID)
	// HandleStored is called after the writes of a shard's transaction were
	// reported as applied.
	HandleStored(StoredTransaction)
}

// Config is what the queue knows from the start.
type Config struct {
	// InstanceID begins the ids of all writes; unique to this process.
	InstanceID string
	// RequestRPS is the limit on requests a second of all controllers together.
	RequestRPS float64
	// WriteRPS is the lowest limit on puts a second, of all controllers together,
	// that the settings name for now or later.
	WriteRPS float64
	// CurrentWriteRPS is used in place of a lower WriteRPS until it is refused.
	CurrentWriteRPS float64
	// BudgetShare is how much of a limit is used.
	BudgetShare float64
	// MaxTxnOps is how many changes a transaction may make.
	MaxTxnOps int
	// Controllers is the number of all controllers.
	Controllers int
	// ShareByDemand returns this controller's part of a limit on puts a second that
	// so many live controllers share, given what it could use itself.
	ShareByDemand func(limit, demand float64, liveControllers int) float64
}

// Counters count what was asked of the state service since they were last taken.
type Counters struct {
	PutsByPriority [PriorityCount]int
	Transactions   int
	Puts           int
	Conflicts      int
	Reads          int
}

// Queue spends the state service's write budget. A transaction whose outcome is
// unknown is sent again unchanged: its conditions on the mod revisions of the keys
// that it sets make a late copy harmless, and its write id shows whether it was
// applied.
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

	putBudget         ratelimit.TokenBucket
	requestBudget     ratelimit.TokenBucket
	writeRPS          float64 // that the state service allows all controllers together, as far as is known
	liveControllers   int
	demand            float64 // puts a second that this controller could use, smoothed
	putsSent          int     // since the demand was last measured
	backgroundDeficit float64 // background writes that are owed
}

// New makes a queue with full budgets. Dispatch sends what was enqueued.
func New(loop *eventloop.Loop, config Config, ownership ShardOwnership) *Queue {
	q := &Queue{loop: loop, ownership: ownership, inFlightKeys: map[string]bool{}}
	q.Configure(config)
	return q
}

// Configure takes over limits, and fills the budgets.
func (q *Queue) Configure(config Config) {
	q.config = config
	q.writeRPS = max(config.WriteRPS, config.CurrentWriteRPS)
	q.SetLiveControllers(config.Controllers)
	q.putBudget.Fill()
	q.requestBudget.Fill()
}

// SetLiveControllers divides the limits among the controllers that are alive.
func (q *Queue) SetLiveControllers(live int) {
	q.liveControllers = max(live, 1)
	requests := q.config.RequestRPS * (q.config.BudgetShare / float64(q.liveControllers))
	q.requestBudget.SetRate(requests, requests)
	q.divideWriteRate()
}

// LiveControllers is how many controllers share the limits.
func (q *Queue) LiveControllers() int { return q.liveControllers }

// MeasureDemand works out how many puts this controller could use; to be called
// once a second.
func (q *Queue) MeasureDemand() {
	want := float64(q.putsSent) + float64(q.Depth())/2
	q.putsSent = 0
	q.demand += demandSmoothing * (want - q.demand)
	q.divideWriteRate()
}

// Demand is how many puts a second this controller could use.
func (q *Queue) Demand() float64 { return q.demand }

// divideWriteRate gives each controller its share of the write rate by what it
// could use: teams, and so work, are spread unevenly, and an even division would
// leave most of the rate idle while one shard's starts wait. All know each other's
// demand from their pings; where they differ for a moment the state service refuses.
func (q *Queue) divideWriteRate() {
	rate := q.config.ShareByDemand(q.writeRPS*q.config.BudgetShare, q.demand, q.liveControllers)
	q.putBudget.SetRate(rate, max(rate, float64(q.config.MaxTxnOps)))
}

// PutBudget is what this controller may write.
func (q *Queue) PutBudget() *ratelimit.TokenBucket { return &q.putBudget }

// SharedWriteRPS is the rate of puts that all controllers share.
func (q *Queue) SharedWriteRPS() float64 { return q.writeRPS }

// Depth is the number of writes that wait for their turn.
func (q *Queue) Depth() int {
	depth := 0
	for _, queue := range q.queues {
		depth += len(queue)
	}
	return depth
}

// Queued lists the writes of a priority that wait for their turn.
func (q *Queue) Queued(priority Priority) []*Write { return q.queues[priority] }

// InFlight is the number of transactions that wait for their answers.
func (q *Queue) InFlight() int { return q.inFlight }

// Counters returns what was counted since the counters were last taken.
func (q *Queue) Counters() Counters { return q.counters }

// TakeCounters returns what was counted since they were last taken.
func (q *Queue) TakeCounters() Counters {
	counters := q.counters
	q.counters = Counters{}
	return counters
}

// Enqueue adds a write behind those of its priority.
func (q *Queue) Enqueue(priority Priority, write *Write) {
	write.priority, write.queuedAt = priority, q.loop.Now()
	q.queues[priority] = append(q.queues[priority], write)
}

// requeue adds a write again that was refused because of another in its
// transaction: one step behind, so that the other one does not take it along at
// once. An acquire stays one, since any other write is dropped while its shard is
// not owned.
func (q *Queue) requeue(write *Write) {
	if write.priority == PriorityClaim {
		q.Enqueue(PriorityClaim, write)
		return
	}
	q.Enqueue(min(write.priority+1, PriorityBackground), write)
}

// RaisePriority moves the queued write of a key to a more urgent priority.
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

// Cancel takes back a write whose turn has not come.
func (q *Queue) Cancel(write *Write) {
	for priority, queue := range q.queues {
		if i := slices.Index(queue, write); i >= 0 {
			q.queues[priority] = slices.Delete(queue, i, i+1)
			return
		}
	}
}

// DropShard drops the queued writes of a shard whose claim was lost.
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
	for _, write := range lost { // these may enqueue writes of other shards
		write.OnOwnershipLost()
	}
}

// sortStarts puts those writes of starts first for which most CPUs have waited
// longest, by put: a record with little to start waits until more can share its
// put. Each ages, so none waits for ever.
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

// advanceBackground puts a background write before the starts when it is owed.
func (q *Queue) advanceBackground() {
	background := q.queues[PriorityBackground]
	if q.backgroundDeficit < 1 || len(background) == 0 {
		return
	}
	q.backgroundDeficit = 0
	q.queues[PriorityBackground] = background[1:]
	q.queues[PriorityStart] = append([]*Write{background[0]}, q.queues[PriorityStart]...)
}

// Dispatch sends what the budgets and the keys in flight allow.
func (q *Queue) Dispatch() {
	for q.inFlight < maxTransactionsInFlight {
		next := q.nextTransaction()
		if next == nil {
			return
		}
		q.send(next)
	}
}

// wakeAfter has Dispatch called again after a time: a timer makes a step.
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
	q.backgroundDeficit = min(q.backgroundDeficit+backgroundShare*float64(puts), maxBackgroundDeficit)
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

// DeleteInBackground removes a key of a shard, unless it has changed since a mod
// revision. Nothing follows from the outcome.
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
