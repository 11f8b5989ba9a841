package ownership

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestFailbackOffered checks when a shard is offered back to its preferred owner.
func TestFailbackOffered(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(m *testManager, shard *state.Shard, to *fakePeer)
		want    bool
	}{
		{"idle shard, healthy peer", func(*testManager, *state.Shard, *fakePeer) {}, true},
		{"peer is not the preferred owner", func(_ *testManager, _ *state.Shard, to *fakePeer) { to.id = "n2" }, false},
		{"shard not ready", func(_ *testManager, shard *state.Shard, _ *fakePeer) { shard.Ready = false }, false},
		{"shard not owned", func(_ *testManager, shard *state.Shard, _ *fakePeer) { shard.Owned = false }, false},
		{"peer unreachable", func(_ *testManager, _ *state.Shard, to *fakePeer) { to.unreachable = true }, false},
		{"peer healthy only recently", func(_ *testManager, _ *state.Shard, to *fakePeer) { to.healthyFor = 4 * second }, false},
		{"owner changed recently", func(m *testManager, shard *state.Shard, _ *fakePeer) {
			shard.OwnershipChangedAt = m.loop.Now() - 4*second
		}, false},
		{"the only busy shard", func(_ *testManager, shard *state.Shard, _ *fakePeer) {
			shard.Jobs = []*state.Job{{}}
		}, false},
		{"one of two busy shards", func(m *testManager, shard *state.Shard, _ *fakePeer) {
			shard.Jobs = []*state.Job{{}}
			m.ownShard(0).Machines = []*state.Machine{{}}
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newTestManager()
			shard, to := m.ownShard(1), &fakePeer{id: "n1", healthyFor: 5 * second}
			m.advanceTo(m.loop.Now() + 10*second)
			test.prepare(m, shard, to)
			ping := &messages.Ping{}
			m.DescribeOwnership(to, ping)
			if got := slices.Contains(ping.FailbackOffers, shard.ID); got != test.want {
				t.Errorf("offered: %v, want %v", got, test.want)
			}
		})
	}
}

// fakePeer is the recipient of a ping.
type fakePeer struct {
	id          cluster.NodeID
	unreachable bool
	healthyFor  cluster.Time
}

func (p *fakePeer) ID() cluster.NodeID { return p.id }

func (p *fakePeer) IsUnreachable() bool { return p.unreachable }

func (p *fakePeer) IsHealthyFor(duration cluster.Time) bool { return p.healthyFor > duration }

// TestFailbackOfferApplied checks that an offer counts only from the shard's owner to
// its preferred owner, and only until the owner's next ping without it.
func TestFailbackOfferApplied(t *testing.T) {
	m := newTestManager()
	for id, owner := range []cluster.NodeID{"n1", "n2", "n1"} {
		m.shards[id].RecordOwner(owner, 4, 20, m.loop.Now())
	}
	m.ApplyPing("n1", &messages.Ping{FailbackOffers: []cluster.ShardID{0, 1, 2}})
	for id, want := range []bool{true, false, false} {
		if m.shards[id].FailbackOffered != want {
			t.Errorf("shard %d offered back: %v, want %v", id, !want, want)
		}
	}
	m.ApplyPing("n1", &messages.Ping{Shards: []messages.ShardTerm{{Shard: 0, Term: 4}}})
	if m.shards[0].FailbackOffered {
		t.Error("shard 0 still offered back after a ping without the offer")
	}
	m.shards[0].RecordOwner("n2", 5, 30, m.loop.Now())
	m.ApplyPing("n1", &messages.Ping{FailbackOffers: []cluster.ShardID{0}})
	if m.shards[0].FailbackOffered {
		t.Error("shard 0 offered back by a late ping of a former owner")
	}
}
