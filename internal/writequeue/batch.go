package writequeue

import (
	"strconv"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// ComparesPerOperation is how many conditions the protocol allows for each
	// change that a transaction may make.
	ComparesPerOperation = 4
	// MaxBatchBytes is how much a transaction may hold before nothing is added.
	// The protocol takes 64 KiB.
	MaxBatchBytes = 40_000
	// operationOverhead is what a change takes beside its key and value, in bytes,
	// roughly.
	operationOverhead = 80
)

// The pauses before the queues are looked at again when a budget is spent.
const (
	requestBudgetPause = second / 20
	putBudgetPause     = second / 10
)

// batch is a transaction while writes are added to it, most urgent first.
//
// It writes no key twice and none that another transaction in flight writes, holds
// writes of one shard at most, and stays within the limits of the protocol and
// what is left of the write rate.
type batch struct {
	queue       *Queue
	transaction *transaction
	budget      float64 // puts that may still be spent
	bytes       int
	keys        map[string]bool
}

// nextTransaction makes a transaction of the writes whose turn has come; nil: of
// none.
func (q *Queue) nextTransaction() *transaction {
	now := q.loop.Now()
	q.putBudget.Refill(now)
	q.requestBudget.Refill(now)
	if q.Depth() == 0 {
		return nil
	}
	if q.requestBudget.Level() < 1 {
		q.wakeAfter(requestBudgetPause)
		return nil
	}
	q.sortStarts()
	q.advanceBackground()
	b := q.newBatch()
	for priority := PriorityClaim; priority < PriorityCount; priority++ {
		// Background writes leave some of the budget to what may come next.
		if priority == PriorityBackground && b.budget < q.putBudget.Capacity()/3 {
			if len(q.queues[priority]) > 0 {
				q.wakeAfter(putBudgetPause)
			}
			break
		}
		queue := q.queues[priority]
		q.queues[priority] = nil // what a Build enqueues comes behind the rest
		rest := b.takeFrom(queue, priority)
		q.queues[priority] = append(rest, q.queues[priority]...)
	}
	return b.finish()
}

func (q *Queue) newBatch() *batch {
	q.lastWriteNumber++
	writeID := q.config.InstanceID + "-" + strconv.Itoa(q.lastWriteNumber)
	return &batch{
		queue:       q,
		transaction: &transaction{writeID: writeID, shardID: cluster.NoShard, priority: PriorityCount},
		budget:      q.putBudget.Level(),
		keys:        map[string]bool{},
	}
}

// takeFrom adds what it can of a queue, and returns the rest in its order.
func (b *batch) takeFrom(queue []*Write, priority Priority) []*Write {
	var rest []*Write
	for i, write := range queue {
		if b.isClosedTo(priority) {
			return append(rest, queue[i:]...)
		}
		if float64(len(write.Keys)) > b.budget {
			b.queue.wakeAfter(putBudgetPause)
			return append(rest, queue[i:]...)
		}
		if b.conflictsWith(write) || b.bytes > MaxBatchBytes {
			rest = append(rest, write)
			continue
		}
		b.add(write, priority)
	}
	return rest
}

// isClosedTo tells whether nothing of a priority may be added any more: the
// transaction is full, or what it holds is so much more urgent that it goes
// without.
func (b *batch) isClosedTo(priority Priority) bool {
	if len(b.transaction.operations) >= b.queue.config.MaxTxnOps {
		return true
	}
	return b.transaction.priority != PriorityCount && priority > max(b.transaction.priority, PriorityAdmission)+1
}

// conflictsWith tells whether a write can't be in the same transaction as those
// that it has already, or not yet.
func (b *batch) conflictsWith(write *Write) bool {
	t, maxOps := b.transaction, b.queue.config.MaxTxnOps
	compares := len(t.compares) + len(write.Keys) + max(write.MaxExtraCompares, len(write.ExtraCompares)) + 1
	switch {
	case write.ShardID != cluster.NoShard && t.shardID != cluster.NoShard && write.ShardID != t.shardID:
		return true
	case len(t.operations)+len(write.Keys) > maxOps:
		return true
	case compares > ComparesPerOperation*maxOps:
		return true
	case len(t.writes) > 0 && (write.sendAlone || t.writes[0].sendAlone):
		return true
	}
	for _, key := range write.Keys {
		if b.queue.inFlightKeys[key] || b.keys[key] {
			return true
		}
	}
	return false
}

// add builds a write and adds it, unless its shard's claim was lost or it is no
// longer wanted.
func (b *batch) add(write *Write, priority Priority) {
	// Without the claim there is no mod revision of ours to make the write
	// conditional on: the one that is known is the new owner's.
	if write.ShardID != cluster.NoShard && priority != PriorityClaim && !b.queue.ownership.ClaimOf(write.ShardID).Owned {
		write.loseOwnership()
		return
	}
	t := b.transaction
	operations, modRevisions := write.Build(t.writeID)
	if operations == nil {
		return
	}
	for i, operation := range operations {
		t.compares = append(t.compares, messages.Compare{Key: operation.Key, ModRevision: modRevisions[i]})
		b.keys[operation.Key] = true
		b.bytes += len(operation.Value) + len(operation.Key) + operationOverhead
	}
	t.operations = append(t.operations, operations...)
	t.compares = append(t.compares, write.ExtraCompares...)
	t.putsByPriority[priority] += len(operations)
	t.writes = append(t.writes, write)
	b.budget -= float64(len(operations))
	if write.ShardID != cluster.NoShard {
		t.shardID = write.ShardID
	}
	t.priority = min(t.priority, priority)
}

// finish makes the transaction conditional on its shard's claim and marks its keys
// as in flight; nil: there is nothing in it.
func (b *batch) finish() *transaction {
	t := b.transaction
	if len(t.writes) == 0 {
		return nil
	}
	if t.shardID != cluster.NoShard && t.priority != PriorityClaim {
		claim := b.queue.ownership.ClaimOf(t.shardID)
		t.claim = claim.ModRevision
		t.compares = append(t.compares, messages.Compare{Key: claim.Key, ModRevision: claim.ModRevision})
	}
	for key := range b.keys {
		b.queue.inFlightKeys[key] = true
	}
	return t
}
