package simulation

import (
	"sort"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// StoreLimits are the limits of the state service that change with the upgrade.
type StoreLimits struct {
	WriteRPS   float64
	ValueBytes int
	TxnOps     int
}

// FakeStateService is a model of the state service.
type FakeStateService struct {
	Revision cluster.Revision
	// Limits that a transaction is held to; those that are zero hold for none.
	Limits StoreLimits
	// Rejected counts the transactions above the limits.
	Rejected  struct{ Size, Rate int }
	budget    writeBudget
	keys      map[string]messages.KV
	changeLog []messages.KV // all changes in order; a dropped key has no value
}

// NewFakeStateService makes a state service without keys.
func NewFakeStateService() *FakeStateService {
	return &FakeStateService{keys: map[string]messages.KV{}, Revision: 1}
}

// comparesPerOp is how many conditions the protocol allows per change.
const comparesPerOp = 4

// writeBudget counts down the changes that the rate limit still allows.
type writeBudget struct {
	remaining  float64
	refilledAt cluster.Time
}

// Admit holds a transaction to the limits: core.OK, or what the service answers
// instead. A burst of one second's worth is allowed.
func (s *FakeStateService) Admit(now cluster.Time, then []messages.TxnOp, when []messages.Compare) messages.Outcome {
	l := s.Limits
	if l.TxnOps > 0 && (len(then) > l.TxnOps || len(when) > comparesPerOp*l.TxnOps) {
		s.Rejected.Size++
		return messages.Invalid
	}
	for _, op := range then {
		if l.ValueBytes > 0 && len(op.Value) > l.ValueBytes {
			s.Rejected.Size++
			return messages.Invalid
		}
	}
	if l.WriteRPS <= 0 {
		return messages.OK
	}
	s.budget.remaining = min(s.budget.remaining+l.WriteRPS*float64(now-s.budget.refilledAt)/float64(second), l.WriteRPS)
	s.budget.refilledAt = now
	if s.budget.remaining < float64(len(then)) {
		s.Rejected.Rate++
		return messages.Throttled
	}
	s.budget.remaining -= float64(len(then))
	return messages.OK
}

// Commit compares and changes atomically.
func (s *FakeStateService) Commit(when []messages.Compare, then []messages.TxnOp) messages.TxnReply {
	if failed := s.failedCompares(when); len(failed) > 0 {
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

// failedCompares lists the keys whose conditions do not hold.
func (s *FakeStateService) failedCompares(when []messages.Compare) []string {
	var failed []string
	for _, condition := range when {
		if s.keys[condition.Key].ModRevision != condition.ModRevision {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

func (s *FakeStateService) apply(operation messages.TxnOp) {
	kv := messages.KV{Key: operation.Key, Value: operation.Value, ModRevision: cluster.ModRevision(s.Revision)}
	if operation.Value == nil {
		delete(s.keys, operation.Key)
	} else {
		s.keys[operation.Key] = kv
	}
	s.changeLog = append(s.changeLog, kv)
}

// Get reads a key.
func (s *FakeStateService) Get(key string) messages.GetReply {
	kv, ok := s.keys[key]
	if !ok {
		return messages.GetReply{Outcome: messages.NotFound}
	}
	return messages.GetReply{Outcome: messages.OK, KV: kv}
}

// List reads the keys with a prefix, in order.
func (s *FakeStateService) List(prefix string) messages.ListReply {
	reply := messages.ListReply{Outcome: messages.OK, Revision: s.Revision}
	for key, kv := range s.keys {
		if strings.HasPrefix(key, prefix) {
			reply.Items = append(reply.Items, kv)
		}
	}
	sort.Slice(reply.Items, func(i, j int) bool { return reply.Items[i].Key < reply.Items[j].Key })
	return reply
}

// Changes lists what changed after a revision.
func (s *FakeStateService) Changes(prefix string, since cluster.Revision) messages.WatchReply {
	reply := messages.WatchReply{Outcome: messages.OK, Revision: s.Revision}
	for _, kv := range s.changeLog {
		if cluster.Revision(kv.ModRevision) > since && strings.HasPrefix(kv.Key, prefix) {
			reply.Items = append(reply.Items, kv)
		}
	}
	return reply
}
