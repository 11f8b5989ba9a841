package writequeue

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// The pauses before a transaction is sent again: the first, doubled with each
// sending up to maxRetryDoublings times.
const (
	firstRetryPause   = 100 * millisecond
	maxRetryDoublings = 4
	// resolveRetryPause is the pause before a key is read again that may show the
	// outcome of a transaction in doubt.
	resolveRetryPause = 300 * millisecond
)

// handleReply follows the answer to a transaction.
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
		q.refund(t) // not carried out: it cost nothing
		q.retry(t)
	case messages.Invalid:
		q.finish(t)
		q.handleInvalid(t)
	case messages.UnknownOutcome, messages.NotFound, messages.Compacted:
		q.retryInDoubt(t)
	default:
		q.retryInDoubt(t) // whatever it stands for, the transaction may have been applied
	}
}

// retryInDoubt sends a transaction again that may have been applied.
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

// refund gives back what a sending took that is going to be repeated. Charged for
// each, a controller that was cut off from the state service for half a minute came
// back with a debt of hundreds of puts and stored no submission for a minute.
func (q *Queue) refund(t *transaction) { q.putBudget.Refund(float64(len(t.operations))) }

func (q *Queue) retry(t *transaction) {
	pause := firstRetryPause << min(t.sendCount, maxRetryDoublings)
	q.loop.After(pause, func() {
		q.inFlight--
		q.send(t)
	})
}

// lowerWriteRate keeps to the lower of the limits that the settings name, once the
// state service has refused more than that.
func (q *Queue) lowerWriteRate() {
	if q.writeRPS <= q.config.WriteRPS {
		return
	}
	q.loop.Log(messages.LogInfo, "store throttles the write rate", "write_rps", q.writeRPS, "lowered_to_rps", q.config.WriteRPS)
	q.writeRPS = q.config.WriteRPS
	q.divideWriteRate()
}

// handleInvalid follows a refusal as malformed: perhaps the state service's limits
// were lowered and one of the records is too large. Each write is built anew, by
// itself, so that this one shows.
func (q *Queue) handleInvalid(t *transaction) {
	q.loop.Log(messages.LogInfo, "store rejects a transaction as malformed", "key_count", len(t.operations), "key", t.operations[0].Key, "write_count", len(t.writes))
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

// handleConflict sorts the writes of a refused transaction into those whose own
// keys were changed by another writer, those whose shard was lost, and the rest,
// which are queued again.
func (q *Queue) handleConflict(t *transaction, failedKeys []string) {
	changed := make(map[string]bool, len(failedKeys))
	for _, key := range failedKeys {
		changed[key] = true
	}
	deposed := t.claim != 0 && changed[q.ownership.ClaimOf(t.shardID).Key]
	if deposed {
		// A transaction under an earlier claim may come back after a new one.
		if claim := q.ownership.ClaimOf(t.shardID); claim.Owned && claim.ModRevision == t.claim {
			q.ownership.HandleDeposed(t.shardID)
		}
	}
	for _, write := range t.writes {
		switch {
		case deposed && write.ShardID == t.shardID:
			write.loseOwnership()
		case write.conflictsIn(changed):
			write.OnConflict()
		default:
			q.requeue(write)
		}
	}
}

// resolveInDoubt finds out whether a transaction that failed when it was sent again
// had been applied before. It is atomic, so any key that still shows its write id
// tells; one alone may have been changed since, as a new job's record is by the
// job's owner.
func (q *Queue) resolveInDoubt(t *transaction, failedKeys []string) {
	var keys []string
	for _, operation := range t.operations {
		if operation.Value != nil {
			keys = append(keys, operation.Key)
		}
	}
	q.resolveFrom(t, keys, failedKeys)
}

// resolveFrom reads the keys that may show the write id, one after the other.
func (q *Queue) resolveFrom(t *transaction, keys, failedKeys []string) {
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
			q.resolveFrom(t, keys[1:], failedKeys)
		default:
			q.loop.After(resolveRetryPause, func() { q.resolveFrom(t, keys, failedKeys) })
		}
	})
}
