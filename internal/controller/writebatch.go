package controller

import (
	"strconv"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// comparesPerOperation is how many conditions the protocol allows per change that a
// transaction may make.
const comparesPerOperation = 4

const (
	// maxBatchBytes is how much a transaction may hold before nothing is added.
	// The protocol takes 64 KiB.
	maxBatchBytes = 40_000
	// operationOverhead is what a change takes beside its key and value, roughly.
	operationOverhead = 80
)

// writeBatch is a transaction while writes are added to it, most urgent first.
//
// It writes no key twice and none that another transaction in flight writes,
// holds writes of one part at most, and stays within the limits of the protocol
// and what is left of the write rate.
type writeBatch struct {
	queue       *writeQueue
	transaction *transaction
	budget      float64 // puts that may still be spent
	bytes       int
	keys        map[string]bool
}

// nextTransaction makes a transaction of the writes whose turn has come, or returns nil.
func (w *writeQueue) nextTransaction() *transaction {
	now := w.controller.loop.Now()
	w.putBudget.Refill(now)
	w.requestBudget.Refill(now)
	if w.depth() == 0 {
		return nil
	}
	if w.requestBudget.Level() < 1 {
		w.wakeAfter(second / 20)
		return nil
	}
	w.sortStarts()
	w.advanceBackground()
	g := w.newBatch()
	for prio := 0; prio < priorityCount; prio++ {
		// Checkpoint writes leave some of the budget to what may come next.
		if prio == priorityBackground && g.budget < w.putBudget.Capacity()/3 {
			if len(w.queues[prio]) > 0 {
				w.wakeAfter(second / 10)
			}
			break
		}
		queue := w.queues[prio]
		w.queues[prio] = nil // what a build adds comes behind the rest
		rest := g.takeFrom(queue, prio)
		w.queues[prio] = append(rest, w.queues[prio]...)
	}
	return g.finish()
}

// advanceBackground puts a checkpoint write before the starts when its turn has come.
func (w *writeQueue) advanceBackground() {
	lazy := w.queues[priorityBackground]
	if w.backgroundDeficit < 1 || len(lazy) == 0 {
		return
	}
	w.backgroundDeficit = 0
	w.queues[priorityBackground] = lazy[1:]
	w.queues[priorityStart] = append([]*queuedWrite{lazy[0]}, w.queues[priorityStart]...)
}

func (w *writeQueue) newBatch() *writeBatch {
	w.lastWriteNumber++
	nonce := w.controller.config.InstanceID + "-" + strconv.Itoa(w.lastWriteNumber)
	return &writeBatch{
		queue:       w,
		transaction: &transaction{writeID: nonce, shardID: cluster.NoShard, priority: priorityCount},
		budget:      w.putBudget.Level(),
		keys:        map[string]bool{},
	}
}

// takeFrom adds what it can of a queue, and returns the rest in its order.
func (g *writeBatch) takeFrom(queue []*queuedWrite, prio int) []*queuedWrite {
	var rest []*queuedWrite
	for i, x := range queue {
		if g.isClosedTo(prio) {
			return append(rest, queue[i:]...)
		}
		if float64(len(x.keys)) > g.budget {
			g.queue.wakeAfter(second / 10)
			return append(rest, queue[i:]...)
		}
		if g.conflictsWith(x) || g.bytes > maxBatchBytes {
			rest = append(rest, x)
			continue
		}
		g.add(x, prio)
	}
	return rest
}

// isClosedTo tells whether nothing of a priority may be added any more: the
// transaction is full, or what it holds is so much more urgent that it goes
// without.
func (g *writeBatch) isClosedTo(prio int) bool {
	if len(g.transaction.operations) >= g.queue.controller.config.MaxTxnOps {
		return true
	}
	return g.transaction.priority != priorityCount && prio > max(g.transaction.priority, priorityAdmit)+1
}

// conflictsWith tells whether a write can't be in the same transaction as those that
// it has already, or not yet.
func (g *writeBatch) conflictsWith(x *queuedWrite) bool {
	t, ops := g.transaction, g.queue.controller.config.MaxTxnOps
	switch {
	case x.shardID != cluster.NoShard && t.shardID != cluster.NoShard && x.shardID != t.shardID:
		return true
	case len(t.operations)+len(x.keys) > ops:
		return true
	case len(t.compares)+len(x.keys)+max(x.maxExtraCompares, len(x.extraCompares))+1 > comparesPerOperation*ops:
		return true
	case len(t.writes) > 0 && (x.sendAlone || t.writes[0].sendAlone):
		return true
	}
	for _, key := range x.keys {
		if g.queue.inFlightKeys[key] || g.keys[key] {
			return true
		}
	}
	return false
}

// add builds a write and adds it, unless its part's claim was lost or it is no
// longer wanted.
func (g *writeBatch) add(x *queuedWrite, prio int) {
	t := g.transaction
	// Without the claim there is no mark of ours to make the write
	// conditional on: the one in the books is the new holder's.
	if x.shardID != cluster.NoShard && prio != priorityAcquire && !g.queue.controller.shards[x.shardID].owned {
		if x.onOwnershipLost != nil {
			x.onOwnershipLost()
		}
		return
	}
	ops, marks := x.build(t.writeID)
	if ops == nil {
		return
	}
	for i, op := range ops {
		t.compares = append(t.compares, messages.Compare{Key: op.Key, ModRevision: marks[i]})
		g.keys[op.Key] = true
		g.bytes += len(op.Value) + len(op.Key) + operationOverhead
	}
	t.operations = append(t.operations, ops...)
	t.compares = append(t.compares, x.extraCompares...)
	t.putsByPriority[prio] += len(ops)
	t.writes = append(t.writes, x)
	g.budget -= float64(len(ops))
	if x.shardID != cluster.NoShard {
		t.shardID = x.shardID
	}
	t.priority = min(t.priority, prio)
}

// finish makes the transaction conditional on its part's claim and marks its
// keys as in flight; nil: there is nothing in it.
func (g *writeBatch) finish() *transaction {
	t := g.transaction
	if len(t.writes) == 0 {
		return nil
	}
	if t.shardID != cluster.NoShard && t.priority != priorityAcquire {
		p := g.queue.controller.shards[t.shardID]
		t.ownerModRevision = p.modRevision
		t.compares = append(t.compares, messages.Compare{Key: p.key(), ModRevision: p.modRevision})
	}
	for key := range g.keys {
		g.queue.inFlightKeys[key] = true
	}
	return t
}
