// Package standin holds models of everything around a controller: the state
// service, the cloud, workers and users. Tests run the real core, or the real
// program, against them.
package standin

import (
	"sort"
	"strings"

	"stairrelay/internal/core"
)

// State is a model of the state service.
type FakeStateService struct {
	Revision core.Revision
	// Limits that a transaction is held to; those that are zero hold for none.
	Limits StoreLimits
	// Refused counts the transactions above the limits.
	Rejected  struct{ Size, Rate int }
	budget    writeBudget
	keys      map[string]core.KV
	changeLog []core.KV // all changes in order; a dropped key has no value
}

// NewState makes a state service without keys.
func NewFakeStateService() *FakeStateService {
	return &FakeStateService{keys: map[string]core.KV{}, Revision: 1}
}

// condsPerOp is how many conditions the protocol allows per change.
const comparesPerOp = 4

// writeAllowance counts down the changes that the rate limit still allows.
type writeBudget struct {
	remaining  float64
	refilledAt core.Time
}

// Admit holds a transaction to the limits: core.OK, or what the service answers
// instead. A burst of one second's worth is allowed.
func (s *FakeStateService) Admit(now core.Time, then []core.TxnOp, when []core.Compare) core.Outcome {
	l := s.Limits
	if l.TxnOps > 0 && (len(then) > l.TxnOps || len(when) > comparesPerOp*l.TxnOps) {
		s.Rejected.Size++
		return core.Invalid
	}
	for _, op := range then {
		if l.ValueBytes > 0 && len(op.Value) > l.ValueBytes {
			s.Rejected.Size++
			return core.Invalid
		}
	}
	if l.WriteRPS <= 0 {
		return core.OK
	}
	s.budget.remaining = min(s.budget.remaining+l.WriteRPS*float64(now-s.budget.refilledAt)/float64(second), l.WriteRPS)
	s.budget.refilledAt = now
	if s.budget.remaining < float64(len(then)) {
		s.Rejected.Rate++
		return core.Throttled
	}
	s.budget.remaining -= float64(len(then))
	return core.OK
}

// Txn compares and changes atomically.
func (s *FakeStateService) Commit(when []core.Compare, then []core.TxnOp) core.TxnReply {
	if failed := s.failedCompares(when); len(failed) > 0 {
		return core.TxnReply{Outcome: core.Conflict, Revision: s.Revision, FailedKeys: failed}
	}
	if len(then) > 0 {
		s.Revision++
	}
	for _, operation := range then {
		s.apply(operation)
	}
	return core.TxnReply{Outcome: core.OK, Revision: s.Revision}
}

// failed lists the keys whose conditions do not hold.
func (s *FakeStateService) failedCompares(when []core.Compare) []string {
	var failed []string
	for _, condition := range when {
		if s.keys[condition.Key].ModRevision != condition.ModRevision {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

func (s *FakeStateService) apply(operation core.TxnOp) {
	kv := core.KV{Key: operation.Key, Value: operation.Value, ModRevision: core.ModRevision(s.Revision)}
	if operation.Value == nil {
		delete(s.keys, operation.Key)
	} else {
		s.keys[operation.Key] = kv
	}
	s.changeLog = append(s.changeLog, kv)
}

// Get reads a key.
func (s *FakeStateService) Get(key string) core.GetReply {
	kv, ok := s.keys[key]
	if !ok {
		return core.GetReply{Outcome: core.NotFound}
	}
	return core.GetReply{Outcome: core.OK, KV: kv}
}

// List reads the keys with a prefix, in order.
func (s *FakeStateService) List(prefix string) core.ListReply {
	reply := core.ListReply{Outcome: core.OK, Revision: s.Revision}
	for key, kv := range s.keys {
		if strings.HasPrefix(key, prefix) {
			reply.Items = append(reply.Items, kv)
		}
	}
	sort.Slice(reply.Items, func(i, j int) bool { return reply.Items[i].Key < reply.Items[j].Key })
	return reply
}

// Changes lists what changed after a revision.
func (s *FakeStateService) Changes(prefix string, since core.Revision) core.WatchReply {
	reply := core.WatchReply{Outcome: core.OK, Revision: s.Revision}
	for _, kv := range s.changeLog {
		if core.Revision(kv.ModRevision) > since && strings.HasPrefix(kv.Key, prefix) {
			reply.Items = append(reply.Items, kv)
		}
	}
	return reply
}
