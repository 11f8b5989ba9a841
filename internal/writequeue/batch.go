package writequeue

import (
	"strconv"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// ComparesPerOperation is the number of compares that the store's protocol
	// allows per operation of a transaction.
	ComparesPerOperation = 4
	// MaxBatchBytes is the size above which no more writes are added to a
	// transaction. The protocol allows 64 KiB.
	MaxBatchBytes = 40_000
	// operationOverheadBytes is the estimated encoding overhead of an operation.
	operationOverheadBytes = 80
	// compareBytes is the maximum size of a compare of a job's record, the longest key.
	compareBytes = 96
)

// The delays before the next dispatch after a budget is exhausted.
const (
	requestBudgetDelay = second / 20
	putBudgetDelay     = second / 10
)

// batch is a transaction that is being filled, in the order of priority.
//
// It writes each key at most once, and none that a transaction in flight writes. It
// contains writes of at most one shard, and stays within the limits of the protocol
// and the remaining write budget.
type batch struct {
	queue       *Queue
	transaction *transaction
	budget      float64 // remaining puts
	bytes       int
	keys        map[string]bool
}

// nextTransaction takes writes from the queues and returns the next transaction to
// send, or nil if no queued write can be sent now.
func (q *Queue) nextTransaction() *transaction {
	now := q.loop.Now()
	q.putBudget.Refill(now)
	q.requestBudget.Refill(now)
	q.writeReserve.Refill(now)
	if q.Depth() == 0 {
		return nil
	}
	usesReserve := q.requestBudget.Level() < 1
	if usesReserve && q.writeReserve.Level() < 1 {
		q.wakeAfter(requestBudgetDelay)
		return nil
	}
	q.sortStarts()
	q.promoteBackground()
	b := q.newBatch()
	for priority := PriorityClaim; priority < PriorityCount; priority++ {
		// Background writes leave part of the budget to more urgent writes that may
		// be queued next.
		if priority == PriorityBackground && b.budget < q.putBudget.Capacity()/3 {
			if len(q.queues[priority]) > 0 {
				q.wakeAfter(putBudgetDelay)
			}
			break
		}
		queue := q.queues[priority]
		q.queues[priority] = nil // collects writes that Build functions enqueue, which go behind the rest
		rest := b.fillFrom(queue, priority)
		q.queues[priority] = append(rest, q.queues[priority]...)
	}
	t := b.finish()
	if t != nil && usesReserve {
		q.writeReserve.Spend(1)
	}
	return t
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

// fillFrom moves writes from a queue to the transaction, as far as they fit, and returns
// the writes that stay queued, in their order.
func (b *batch) fillFrom(queue []*Write, priority Priority) []*Write {
	var rest []*Write
	for i, write := range queue {
		if b.isFullFor(priority) {
			return append(rest, queue[i:]...)
		}
		if float64(len(write.Keys)) > b.budget {
			b.queue.wakeAfter(putBudgetDelay)
			return append(rest, queue[i:]...)
		}
		if b.conflictsWith(write) || b.isFull() {
			rest = append(rest, write)
			continue
		}
		b.add(write, priority)
	}
	return rest
}

// isFullFor reports whether no write of the given priority may be added, because the
// transaction is full or contains a much more urgent write.
func (b *batch) isFullFor(priority Priority) bool {
	if len(b.transaction.operations) >= b.queue.config.MaxTxnOps {
		return true
	}
	return b.transaction.priority != PriorityCount && priority > max(b.transaction.priority, PriorityAdmission)+1
}

// isFull reports whether another write might make the transaction larger than the protocol
// allows. The first write is always added.
func (b *batch) isFull() bool {
	config := &b.queue.config
	room := cluster.MaxBodySize - config.MaxValueBytes - ComparesPerOperation*config.MaxTxnOps*compareBytes
	return len(b.transaction.writes) > 0 && b.bytes > min(MaxBatchBytes, room)
}

// conflictsWith reports whether a write can't be added to the transaction, because
// it belongs to another shard, exceeds a limit of the protocol, must be sent alone,
// or has a key that this transaction or one in flight writes.
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

// add builds a write and adds its operations to the transaction. If the claim of the
// write's shard was lost, it calls OnOwnershipLost instead. A write without operations
// is dropped.
func (b *batch) add(write *Write, priority Priority) {
	// After the claim was lost, the known mod revision of the claim record may be the new
	// owner's. A compare with it would succeed and let this controller write to a shard
	// that it no longer owns.
	if write.ShardID != cluster.NoShard && priority != PriorityClaim && !b.queue.ownership.ClaimOf(write.ShardID).Owned {
		write.notifyOwnershipLost()
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
		b.bytes += len(operation.Value) + len(operation.Key) + operationOverheadBytes
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

// finish makes the transaction conditional on its shard's claim, marks its keys as in
// flight and returns it. It returns nil if the transaction is empty.
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
