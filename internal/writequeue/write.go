// Package writequeue is the controller's way to the state service: it queues
// writes by priority, joins them into transactions, spends the write and request
// budgets, retries what may not have been carried out, and knows whether the
// state service serves this controller.
//
// Invariants: a key is in one transaction in flight at most; a write of a shard
// goes out only on condition of the shard's claim; a write is reported as applied,
// in conflict or lost to another owner exactly once, also where the outcome of
// its transaction was in doubt.
package writequeue

import (
	"encoding/json"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// Priority orders writes: the write rate is spent on the most urgent first.
type Priority int

// The priorities, most urgent first.
const (
	PriorityClaim      Priority = iota // a shard's claim
	PriorityScaleOut                   // provisioning requests: few, and what waits for them waits for a whole boot
	PriorityAdmission                  // submissions
	PriorityStart                      // assignments of tasks
	PriorityOutcome                    // ended tasks and jobs
	PriorityBackground                 // what may wait: checkpoints and repairs
	// PriorityCount is the number of priorities; as a priority, lower than all.
	PriorityCount
)

// Write is a change that is built when its turn comes, so that everything that
// happens to a record while it waits shares one put.
type Write struct {
	// ShardID is the shard whose claim guards the write, or cluster.NoShard.
	ShardID cluster.ShardID
	// Keys are those that Build returns changes of; the first identifies the write.
	Keys []string
	// Build returns the changes and the mod revisions that their keys must have.
	// Without changes the write is no longer wanted, and nothing is called.
	Build func(writeID string) ([]messages.TxnOp, []cluster.ModRevision)
	// ExtraCompares are further conditions, which Build may set.
	ExtraCompares []messages.Compare
	// MaxExtraCompares is how many of them Build may come to set.
	MaxExtraCompares int
	// CPUsWaiting counts the CPUs that stand idle until the write is done; nil: none.
	CPUsWaiting func() float64
	// OnApplied is called when the write was carried out, with its revision.
	OnApplied func(cluster.Revision)
	// InDoubt is set before OnApplied when a late copy of the write may yet arrive.
	InDoubt bool
	// OnTooLarge is called when the state service refuses the write by itself as
	// malformed; nil: OnConflict is called instead.
	OnTooLarge func()
	// OnConflict is called when another writer changed one of the keys.
	OnConflict func()
	// OnOwnershipLost is called when the shard's claim was lost; nil: nothing is.
	OnOwnershipLost func()

	priority  Priority // of the queue that it was last added to
	queuedAt  cluster.Time
	sendAlone bool // the state service called a transaction with it malformed
}

// conflictsIn tells whether a key that the write sets or compares is among those
// that another writer changed.
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

// loseOwnership tells the write's owner that the claim which guards it is gone.
func (w *Write) loseOwnership() {
	if w.OnOwnershipLost != nil {
		w.OnOwnershipLost()
	}
}

// WriteIDOf reads the id of the write that stored a record; empty: it has none.
func WriteIDOf(value []byte) string {
	var record struct {
		WriteID string `json:"w"`
	}
	if json.Unmarshal(value, &record) != nil {
		return ""
	}
	return record.WriteID
}

// WriterOf reads the instance of the process that stored a record; empty: the
// record has no write id.
func WriterOf(value []byte) string { return InstanceOf(WriteIDOf(value)) }

// InstanceOf is the instance of the controller process that made a write id.
func InstanceOf(writeID string) string {
	if i := strings.LastIndexByte(writeID, '-'); i > 0 {
		return writeID[:i]
	}
	return writeID
}

// transaction is what is sent to the state service: writes with one outcome.
type transaction struct {
	writes         []*Write
	priority       Priority // the most urgent of its writes'
	writeID        string
	compares       []messages.Compare
	operations     []messages.TxnOp
	inDoubt        bool // an earlier sending may have been, or may yet be, carried out
	sendCount      int
	firstSentAt    cluster.Time
	putsByPriority [PriorityCount]int
	shardID        cluster.ShardID     // whose claim guards it, or cluster.NoShard
	claim          cluster.ModRevision // of that claim; 0 for an acquire
}
