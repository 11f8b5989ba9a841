package writequeue

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// The delay before a transaction is sent again is retryBackoffBase, doubled with each
// attempt up to maxBackoffDoublings times.
const (
	retryBackoffBase    = 100 * millisecond
	maxBackoffDoublings = 4
	// resolveRetryDelay is the delay before findWriteID repeats a failed read.
	resolveRetryDelay = 300 * millisecond
)

func (q *Queue) handleReply(t *transaction, reply messages.TxnReply) {
	q.recordOutcome(reply.Outcome)
	switch reply.Outcome {
	case messages.OK:
		q.finish(t)
		q.handleApplied(t, reply.Revision)
	case messages.Conflict:
		q.counters.Conflicts++
		if t.inDoubt {
			q.resolveInDoubt(t, reply.FailedKeys)
			return
		}
		q.finish(t)
		q.handleConflict(t, reply.FailedKeys)
	case messages.Throttled, messages.NotApplied:
		if reply.Outcome == messages.Throttled {
			q.lowerWriteRate()
		}
		q.refund(t)
		q.retry(t)
	case messages.Invalid:
		q.finish(t)
		q.handleInvalid(t)
	case messages.UnknownOutcome, messages.NotFound, messages.Compacted:
		q.retryInDoubt(t)
	default:
		q.retryInDoubt(t) // after an unexpected outcome, the transaction may have been applied
	}
}

// retryInDoubt marks a transaction as in doubt after an attempt with an unknown outcome,
// and sends it again after a delay.
func (q *Queue) retryInDoubt(t *transaction) {
	t.inDoubt = true
	q.refund(t)
	q.retry(t)
}

func (q *Queue) finish(t *transaction) {
	q.inFlight--
	for _, operation := range t.operations {
		delete(q.inFlightKeys, operation.Key)
	}
}

// refund returns the puts of a transaction to the budget before it is sent again.
// Otherwise the retries during a network partition would overdraw the budget, and
// the controller couldn't write for some time afterwards.
func (q *Queue) refund(t *transaction) { q.putBudget.Refund(float64(len(t.operations))) }

func (q *Queue) retry(t *transaction) {
	delay := retryBackoffBase << min(t.sendCount, maxBackoffDoublings)
	q.loop.After(delay, func() {
		q.inFlight--
		q.send(t)
	})
}

// lowerWriteRate switches from CurrentWriteRPS to a lower WriteRPS after the store has
// throttled this controller.
func (q *Queue) lowerWriteRate() {
	if q.writeRPS <= q.config.WriteRPS {
		return
	}
	q.loop.Log(messages.LogInfo, "store throttled a request; lowering the write rate", "write_rps", q.writeRPS, "lowered_to_rps", q.config.WriteRPS)
	q.writeRPS = q.config.WriteRPS
	q.divideWriteRate()
}

// handleInvalid handles the rejection of a transaction as malformed. A record in the
// transaction may exceed the size limit of the store, so each write is retried in a
// transaction of its own. If the transaction contained only one write, the write's
// OnTooLarge is called, or its OnConflict if OnTooLarge is nil.
func (q *Queue) handleInvalid(t *transaction) {
	q.loop.Log(messages.LogInfo, "store rejected a transaction as malformed; retrying its writes separately, or notifying the writer if there is only one", "key_count", len(t.operations), "key", t.operations[0].Key, "write_count", len(t.writes))
	for _, write := range t.writes {
		switch {
		case len(t.writes) > 1:
			write.sendAlone = true
			q.Enqueue(write.priority, write)
		case write.OnTooLarge != nil:
			write.OnTooLarge()
		default:
			write.OnConflict()
		}
	}
}

func (q *Queue) handleApplied(t *transaction, revision cluster.Revision) {
	for _, write := range t.writes {
		write.InDoubt = t.inDoubt
		write.OnApplied(revision)
	}
	if t.shardID == cluster.NoShard {
		return
	}
	claim := t.claim
	if t.priority == PriorityClaim {
		claim = cluster.ModRevision(revision)
	}
	q.ownership.HandleStored(StoredTransaction{ShardID: t.shardID, Claim: claim, Revision: revision, SentAt: t.firstSentAt})
}

// handleConflict handles the failure of a compare. It reports a conflict to the
// writes whose keys another writer changed. If the shard's claim was replaced, it reports
// the loss of ownership to the writes of the shard, and to ShardOwnership if the replaced
// claim is the latest one of this controller. The other writes are queued again.
func (q *Queue) handleConflict(t *transaction, failedKeys []string) {
	changed := make(map[string]bool, len(failedKeys))
	for _, key := range failedKeys {
		changed[key] = true
	}
	deposed := t.claim != 0 && changed[q.ownership.ClaimOf(t.shardID).Key]
	if deposed {
		// The conflict of a transaction under an earlier claim doesn't mean that a later
		// claim of this controller was replaced.
		if claim := q.ownership.ClaimOf(t.shardID); claim.Owned && claim.ModRevision == t.claim {
			q.ownership.HandleDeposed(t.shardID)
		}
	}
	for _, write := range t.writes {
		switch {
		case deposed && write.ShardID == t.shardID:
			write.notifyOwnershipLost()
		case write.conflictsIn(changed):
			write.OnConflict()
		default:
			q.requeue(write)
		}
	}
}

// resolveInDoubt finds out whether a transaction whose retry failed with a conflict
// was applied by an earlier attempt. Because transactions are atomic, one record with
// the transaction's write ID is sufficient proof. All keys are read if necessary, because
// later writes may have replaced some of the records.
func (q *Queue) resolveInDoubt(t *transaction, failedKeys []string) {
	var keys []string
	for _, operation := range t.operations {
		if operation.Value != nil {
			keys = append(keys, operation.Key)
		}
	}
	q.findWriteID(t, keys, failedKeys)
}

// findWriteID reads the keys one after the other. If a record has the write ID of the
// transaction, the transaction was applied. If none has it, the conflict is reported.
func (q *Queue) findWriteID(t *transaction, keys, failedKeys []string) {
	if len(keys) == 0 {
		q.finish(t)
		q.handleConflict(t, failedKeys)
		return
	}
	q.ReadKey(keys[0], func(reply messages.GetReply) {
		switch {
		case reply.Outcome == messages.OK && WriteIDOf(reply.KV.Value) == t.writeID:
			q.finish(t)
			q.handleApplied(t, cluster.Revision(reply.KV.ModRevision))
		case reply.Outcome == messages.OK || reply.Outcome == messages.NotFound:
			q.findWriteID(t, keys[1:], failedKeys)
		default:
			q.loop.After(resolveRetryDelay, func() { q.findWriteID(t, keys, failedKeys) })
		}
	})
}
