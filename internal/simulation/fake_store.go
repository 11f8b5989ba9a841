package simulation

import (
	"sort"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// StoreLimits are the limits of the store that the upgrade tests lower.
type StoreLimits struct {
	WriteRPS   float64
	ValueBytes int
	TxnOps     int
}

// FakeStore is a fake of the store. It has revisions, compare-and-swap transactions
// and a change log.
type FakeStore struct {
	Revision cluster.Revision
	// Limits are checked by Admit. A limit of 0 means no limit.
	Limits StoreLimits
	// Rejected counts the transactions that exceeded the limits.
	Rejected  struct{ Size, Rate int }
	budget    writeBudget
	keys      map[string]messages.KV
	changeLog []messages.KV // all changes in order; deletions have a nil Value
}

// NewFakeStore returns an empty store.
func NewFakeStore() *FakeStore {
	return &FakeStore{keys: map[string]messages.KV{}, Revision: 1}
}

// comparesPerOp is the ratio of the protocol's limit for the compares in a transaction to
// its limit for the operations.
const comparesPerOp = 4

// writeBudget is a token bucket that limits the rate of operations.
type writeBudget struct {
	remaining  float64
	refilledAt cluster.Time
}

// Admit checks a transaction against the limits and counts it if it exceeds one. It
// returns messages.Invalid if a size limit is exceeded, messages.Throttled if the rate
// limit is exceeded, and messages.OK otherwise.
func (s *FakeStore) Admit(now cluster.Time, then []messages.TxnOp, compares []messages.Compare) messages.Outcome {
	if !s.isWithinSizeLimits(then, compares) {
		s.Rejected.Size++
		return messages.Invalid
	}
	if s.Limits.WriteRPS > 0 && !s.budget.take(now, s.Limits.WriteRPS, float64(len(then))) {
		s.Rejected.Rate++
		return messages.Throttled
	}
	return messages.OK
}

func (s *FakeStore) isWithinSizeLimits(then []messages.TxnOp, compares []messages.Compare) bool {
	limits := s.Limits
	if limits.TxnOps > 0 && (len(then) > limits.TxnOps || len(compares) > comparesPerOp*limits.TxnOps) {
		return false
	}
	for _, operation := range then {
		if limits.ValueBytes > 0 && len(operation.Value) > limits.ValueBytes {
			return false
		}
	}
	return true
}

// take takes a number of operations from the budget. It reports false if the budget
// is insufficient. Bursts of up to one second's worth of operations are allowed.
func (b *writeBudget) take(now cluster.Time, perSecond, operations float64) bool {
	refill := perSecond * float64(now-b.refilledAt) / float64(second)
	b.remaining = min(b.remaining+refill, perSecond)
	b.refilledAt = now
	if b.remaining < operations {
		return false
	}
	b.remaining -= operations
	return true
}

// Commit applies a transaction if all its compares succeed. Otherwise the outcome is
// messages.Conflict, with the keys of the failed compares.
func (s *FakeStore) Commit(compares []messages.Compare, then []messages.TxnOp) messages.TxnReply {
	if failed := s.failedCompares(compares); len(failed) > 0 {
		return messages.TxnReply{Outcome: messages.Conflict, Revision: s.Revision, FailedKeys: failed}
	}
	if len(then) > 0 {
		s.Revision++
	}
	for _, operation := range then {
		s.apply(operation)
	}
	return messages.TxnReply{Outcome: messages.OK, Revision: s.Revision}
}

// failedCompares returns the keys whose compares fail.
func (s *FakeStore) failedCompares(compares []messages.Compare) []string {
	var failed []string
	for _, compare := range compares {
		if s.keys[compare.Key].ModRevision != compare.ModRevision {
			failed = append(failed, compare.Key)
		}
	}
	return failed
}

func (s *FakeStore) apply(operation messages.TxnOp) {
	kv := messages.KV{Key: operation.Key, Value: operation.Value, ModRevision: cluster.ModRevision(s.Revision)}
	if operation.Value == nil {
		delete(s.keys, operation.Key)
	} else {
		s.keys[operation.Key] = kv
	}
	s.changeLog = append(s.changeLog, kv)
}

// Get returns a key with its value and mod revision. The outcome is messages.NotFound if
// the key does not exist.
func (s *FakeStore) Get(key string) messages.GetReply {
	kv, ok := s.keys[key]
	if !ok {
		return messages.GetReply{Outcome: messages.NotFound}
	}
	return messages.GetReply{Outcome: messages.OK, KV: kv}
}

// List returns the keys that have the given prefix, with their values, sorted by key.
func (s *FakeStore) List(prefix string) messages.ListReply {
	reply := messages.ListReply{Outcome: messages.OK, Revision: s.Revision}
	for key, kv := range s.keys {
		if strings.HasPrefix(key, prefix) {
			reply.Items = append(reply.Items, kv)
		}
	}
	sort.Slice(reply.Items, func(i, j int) bool { return reply.Items[i].Key < reply.Items[j].Key })
	return reply
}

// Changes returns the changes that were made after the given revision to keys with the
// given prefix.
func (s *FakeStore) Changes(prefix string, since cluster.Revision) messages.WatchReply {
	reply := messages.WatchReply{Outcome: messages.OK, Revision: s.Revision}
	for _, kv := range s.changeLog {
		if cluster.Revision(kv.ModRevision) > since && strings.HasPrefix(kv.Key, prefix) {
			reply.Items = append(reply.Items, kv)
		}
	}
	return reply
}
