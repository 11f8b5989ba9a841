// Package writequeue is the controller's client of the consensus-backed key-value
// store. It queues writes by priority, batches them into compare-and-swap
// transactions, enforces the write and request budgets, retries failed
// transactions, and tracks whether the store serves this controller.
//
// Invariants:
//
//   - A key is in at most one transaction in flight.
//   - A write of a shard, other than that of its claim, is sent only in a transaction
//     that is conditional on the claim.
//   - For each write that is sent, exactly one callback reports the final outcome:
//     applied, conflicting, too large, or ownership lost. This holds even if the outcome
//     of the transaction was in doubt.
package writequeue

import (
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
	"stairrelay/internal/messages"
)

// Priority is the priority of a write. Writes of a higher priority get the write
// budget first.
type Priority int

// The priorities, highest first.
const (
	PriorityClaim      Priority = iota // claims of shards
	PriorityScaleOut                   // provisioning requests and changes of a shard's machines
	PriorityAdmission                  // admissions of submitted jobs
	PriorityStart                      // assignments of tasks to machines
	PriorityOutcome                    // outcomes of tasks and jobs, releases of machines
	PriorityBackground                 // periodic writes of records, repairs and other deferrable writes
	// PriorityCount is the number of priorities. As a priority it is lower than
	// every other one.
	PriorityCount
)

// Write is a queued change of one or more records. Its contents are built when it is
// added to a transaction, so that one put stores all changes made while it was
// queued.
type Write struct {
	// ShardID is the shard whose claim guards the write, or cluster.NoShard.
	ShardID cluster.ShardID
	// Keys are the keys that Build may change. The first one identifies the write.
	Keys []string
	// Build returns the operations and, for each of them, the mod revision that its
	// key must have. If it returns no operations, the write is dropped and no callback
	// is called.
	Build func(writeID string) ([]messages.TxnOp, []cluster.ModRevision)
	// ExtraCompares are additional conditions. Build may set them.
	ExtraCompares []messages.Compare
	// MaxExtraCompares is the maximum number of ExtraCompares that Build sets.
	MaxExtraCompares int
	// CPUsWaiting returns the number of CPUs that are idle until the write is
	// applied. It may be nil, which means 0.
	CPUsWaiting func() float64
	// OnApplied is called with the revision of the write after it was applied.
	OnApplied func(cluster.Revision)
	// InDoubt is set before OnApplied is called if a delayed copy of the write may
	// still reach the store.
	InDoubt bool
	// OnTooLarge is called if the store rejects the write as malformed when it is
	// sent in a transaction of its own. If it is nil, OnConflict is called instead.
	OnTooLarge func()
	// OnConflict is called if another writer changed one of the keys or a key of
	// ExtraCompares.
	OnConflict func()
	// OnOwnershipLost is called if the shard's claim was lost. It may be nil.
	OnOwnershipLost func()

	priority  Priority // of the queue to which it was last added
	queuedAt  cluster.Time
	sendAlone bool // because a transaction with this and other writes was rejected as malformed
}

// conflictsIn reports whether changed, the keys that other writers have changed,
// contains a key that the write sets or compares.
func (w *Write) conflictsIn(changed map[string]bool) bool {
	for _, key := range w.Keys {
		if changed[key] {
			return true
		}
	}
	for _, compare := range w.ExtraCompares {
		if changed[compare.Key] {
			return true
		}
	}
	return false
}

// notifyOwnershipLost calls OnOwnershipLost, if it is set.
func (w *Write) notifyOwnershipLost() {
	if w.OnOwnershipLost != nil {
		w.OnOwnershipLost()
	}
}

// WriteIDOf returns the ID of the write that stored a record. It returns an empty
// string if the record has no write ID or can't be decoded.
func WriteIDOf(value []byte) string {
	var record struct {
		WriteID string `json:"w"`
	}
	if exactjson.Unmarshal(value, &record) != nil {
		return ""
	}
	return record.WriteID
}

// WriterOf returns the instance ID of the process that stored a record. It returns
// an empty string if the record has no write ID.
func WriterOf(value []byte) string { return InstanceOf(WriteIDOf(value)) }

// InstanceOf returns the instance ID of the controller process that generated a
// write ID.
func InstanceOf(writeID string) string {
	if i := strings.LastIndexByte(writeID, '-'); i > 0 {
		return writeID[:i]
	}
	return writeID
}

// transaction is a batch of writes that the store applies atomically.
type transaction struct {
	writes         []*Write
	priority       Priority // the highest priority of its writes
	writeID        string
	compares       []messages.Compare
	operations     []messages.TxnOp
	inDoubt        bool // an earlier attempt may have been applied, or may still be applied
	sendCount      int
	firstSentAt    cluster.Time
	putsByPriority [PriorityCount]int
	shardID        cluster.ShardID     // the shard of its writes, or cluster.NoShard
	claim          cluster.ModRevision // mod revision of the claim that guards the transaction, or 0 if none does
}
