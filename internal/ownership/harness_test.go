package ownership

import (
	"fmt"
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// fakePeers provides the state of the other controllers as set by a test.
type fakePeers struct {
	failed           []cluster.NodeID
	acknowledgements []membership.Acknowledgement
	upgraded         []cluster.NodeID
	writers          []string // instance IDs passed to RecordWrite
}

func (p *fakePeers) IsFailed(node cluster.NodeID) bool { return slices.Contains(p.failed, node) }

func (p *fakePeers) AppendAcknowledgements(to []membership.Acknowledgement) []membership.Acknowledgement {
	return append(to, p.acknowledgements...)
}

func (p *fakePeers) RecordWrite(instanceID string) { p.writers = append(p.writers, instanceID) }

func (p *fakePeers) RecordUpgraded(nodes ...cluster.NodeID) {
	p.upgraded = append(p.upgraded, nodes...)
}

func (p *fakePeers) UpgradedNodes() []cluster.NodeID { return p.upgraded }

// fakeShardLoader records the shards loaded and dropped.
type fakeShardLoader struct{ loaded, dropped []cluster.ShardID }

func (s *fakeShardLoader) LoadShard(shard *state.Shard) { s.loaded = append(s.loaded, shard.ID) }

func (s *fakeShardLoader) DropShard(shard *state.Shard) { s.dropped = append(s.dropped, shard.ID) }

// queueOwnership connects a manager to its write queue as the controller does.
type queueOwnership struct{ manager *Manager }

func (o *queueOwnership) ClaimOf(id cluster.ShardID) writequeue.Claim {
	shard := o.manager.shards[id]
	return writequeue.Claim{Key: shard.Key(), ModRevision: shard.ModRevision, Owned: shard.Owned}
}

func (o *queueOwnership) HandleDeposed(id cluster.ShardID) { o.manager.HandleDeposed(id) }

func (o *queueOwnership) HandleStored(stored writequeue.StoredTransaction) {
	o.manager.RecordConfirmation(o.manager.shards[stored.ShardID], stored.Claim, stored.SentAt)
}

// testManager is the manager of n0, which is one of three controllers and the preferred
// owner of shard 0. Its time starts at 100 s, and no owners are known.
type testManager struct {
	*Manager
	loop   *eventloop.Loop
	peers  *fakePeers
	loader *fakeShardLoader
}

func newTestManager() *testManager {
	nodes := []cluster.NodeID{"n0", "n1", "n2"}
	config := Config{
		Self:           "n0",
		Nodes:          nodes,
		InstanceID:     "b0",
		CancelDeadline: 37 * second,
		WorkerLease:    22 * second,
		FailbackDelay:  4 * second,
	}
	loop, queueOwnership := eventloop.New(), &queueOwnership{}
	queue := writequeue.New(loop, writequeue.Config{
		InstanceID:    "b0",
		RequestRPS:    100,
		WriteRPS:      25,
		BudgetShare:   0.9,
		MaxTxnOps:     20,
		Controllers:   len(nodes),
		ShareByDemand: func(limit, _ float64, live int) float64 { return limit / float64(live) },
	}, queueOwnership)
	peers, loader := &fakePeers{upgraded: []cluster.NodeID{"n0", "n2"}}, &fakeShardLoader{}
	shards := state.New(nodes, nil).Shards
	for _, shard := range shards {
		shard.RecordRead = true
	}
	m := &testManager{Manager: New(loop, config, shards, queue, peers, loader), loop: loop, peers: peers, loader: loader}
	queueOwnership.manager = m.Manager
	m.advanceTo(100 * second)
	return m
}

// advanceTo starts a step of the event loop at now and runs the timers that are due.
func (m *testManager) advanceTo(now cluster.Time) {
	m.loop.Begin(now, 0)
	m.loop.RunTimers()
}

// ownShard makes a shard owned and ready, with claim revision 30 and term 1.
func (m *testManager) ownShard(id cluster.ShardID) *state.Shard {
	shard := m.shards[id]
	shard.BeginOwnership("n0", 1, 30, m.loop.Now())
	m.MarkReady(shard)
	return shard
}

// effectsOf dispatches the write queue and returns the effects of type E of the current
// step.
func effectsOf[E messages.Effect](m *testManager) []E {
	m.queue.Dispatch()
	var found []E
	for _, effect := range m.loop.Effects() {
		if match, ok := effect.(E); ok {
			found = append(found, match)
		}
	}
	return found
}

// onlyEffect returns the effect of type E of the current step, which must be the only
// one.
func onlyEffect[E messages.Effect](t *testing.T, m *testManager) E {
	t.Helper()
	found := effectsOf[E](m)
	if len(found) != 1 {
		t.Fatalf("%d effects of type %T, want 1", len(found), *new(E))
	}
	return found[0]
}

// reply delivers the reply to a request.
func (m *testManager) reply(call messages.CallID, body messages.ReplyBody) {
	m.loop.Deliver(messages.Reply{Call: call, Body: body})
}

// claimKV returns a stored claim record.
func claimKV(id cluster.ShardID, owner cluster.NodeID, term cluster.Term, writeID string, revision cluster.ModRevision) messages.KV {
	value := fmt.Appendf(nil, `{"holder":%q,"term":%d,"w":%q}`, owner, term, writeID)
	return messages.KV{Key: fmt.Sprintf("parts/%d", id), Value: value, ModRevision: revision}
}

// failStoreSince marks the store as failing since the given time.
func (m *testManager) failStoreSince(at cluster.Time) { m.queue.Health.MarkFailing(at) }
