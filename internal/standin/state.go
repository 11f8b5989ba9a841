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
type State struct {
	Epoch core.Epoch
	// Limits that a transaction is held to; those that are zero hold for none.
	Limits Limits
	// Refused counts the transactions above the limits.
	Refused struct{ Size, Rate int }
	writes  writeAllowance
	keys    map[string]core.KV
	log     []core.KV // all changes in order; a dropped key has no value
}

// NewState makes a state service without keys.
func NewState() *State { return &State{keys: map[string]core.KV{}, Epoch: 1} }

// condsPerOp is how many conditions the protocol allows per change.
const condsPerOp = 4

// writeAllowance counts down the changes that the rate limit still allows.
type writeAllowance struct {
	left float64
	at   core.Time
}

// Admit holds a transaction to the limits: core.OK, or what the service answers
// instead. A burst of one second's worth is allowed.
func (s *State) Admit(now core.Time, then []core.TxnOp, when []core.Cond) core.Outcome {
	l := s.Limits
	if l.TxnOps > 0 && (len(then) > l.TxnOps || len(when) > condsPerOp*l.TxnOps) {
		s.Refused.Size++
		return core.Invalid
	}
	for _, op := range then {
		if l.ValueBytes > 0 && len(op.Value) > l.ValueBytes {
			s.Refused.Size++
			return core.Invalid
		}
	}
	if l.WriteRPS <= 0 {
		return core.OK
	}
	s.writes.left = min(s.writes.left+l.WriteRPS*float64(now-s.writes.at)/float64(second), l.WriteRPS)
	s.writes.at = now
	if s.writes.left < float64(len(then)) {
		s.Refused.Rate++
		return core.Throttled
	}
	s.writes.left -= float64(len(then))
	return core.OK
}

// Txn compares and changes atomically.
func (s *State) Txn(when []core.Cond, then []core.TxnOp) core.TxnReply {
	if failed := s.failed(when); len(failed) > 0 {
		return core.TxnReply{Out: core.Conflict, Epoch: s.Epoch, Failed: failed}
	}
	if len(then) > 0 {
		s.Epoch++
	}
	for _, operation := range then {
		s.apply(operation)
	}
	return core.TxnReply{Out: core.OK, Epoch: s.Epoch}
}

// failed lists the keys whose conditions do not hold.
func (s *State) failed(when []core.Cond) []string {
	var failed []string
	for _, condition := range when {
		if s.keys[condition.Key].Mark != condition.Mark {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

func (s *State) apply(operation core.TxnOp) {
	kv := core.KV{Key: operation.Key, Value: operation.Value, Mark: core.Mark(s.Epoch)}
	if operation.Value == nil {
		delete(s.keys, operation.Key)
	} else {
		s.keys[operation.Key] = kv
	}
	s.log = append(s.log, kv)
}

// Get reads a key.
func (s *State) Get(key string) core.GetReply {
	kv, ok := s.keys[key]
	if !ok {
		return core.GetReply{Out: core.Missing}
	}
	return core.GetReply{Out: core.OK, KV: kv}
}

// List reads the keys with a prefix, in order.
func (s *State) List(prefix string) core.ListReply {
	reply := core.ListReply{Out: core.OK, Epoch: s.Epoch}
	for key, kv := range s.keys {
		if strings.HasPrefix(key, prefix) {
			reply.Items = append(reply.Items, kv)
		}
	}
	sort.Slice(reply.Items, func(i, j int) bool { return reply.Items[i].Key < reply.Items[j].Key })
	return reply
}

// Changes lists what changed after a revision.
func (s *State) Changes(prefix string, since core.Epoch) core.WatchReply {
	reply := core.WatchReply{Out: core.OK, Epoch: s.Epoch}
	for _, kv := range s.log {
		if core.Epoch(kv.Mark) > since && strings.HasPrefix(kv.Key, prefix) {
			reply.Items = append(reply.Items, kv)
		}
	}
	return reply
}
