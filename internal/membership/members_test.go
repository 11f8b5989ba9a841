package membership

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// fakeHost counts what it is told.
type fakeHost struct {
	reachabilityChanges int
	reviews             int
	pingsFrom           []cluster.NodeID
}

func (h *fakeHost) DescribeShards(*Peer, *messages.Ping) {}

func (h *fakeHost) HandlePing(from *Peer, _ *messages.Ping) {
	h.pingsFrom = append(h.pingsFrom, from.ID())
}

func (h *fakeHost) HandleReachabilityChange() { h.reachabilityChanges++ }

func (h *fakeHost) ReviewOwnership() { h.reviews++ }

// fakeFleet is machines that have booted, owned since a time.
type fakeFleet struct {
	machines   int
	ownedSince cluster.Time
}

func (f *fakeFleet) MachineCount() int { return f.machines }

func (f *fakeFleet) VisitBooted(visit func(address string, ownedSince cluster.Time)) {
	for range f.machines {
		visit("m-1:80", f.ownedSince)
	}
}

// testMembers is the view of n0, one of seven controllers, at 30 s.
type testMembers struct {
	*Members
	loop  *eventloop.Loop
	host  *fakeHost
	fleet *fakeFleet
}

func newTestMembers() *testMembers {
	const heartbeatInterval = 5 * second / 2
	nodes := []cluster.NodeID{"n0", "n1", "n2", "n3", "n4", "n5", "n6"}
	loop := eventloop.New()
	loop.Begin(30*second, 0)
	host, fleet := &fakeHost{}, &fakeFleet{}
	workers := NewWorkerReachability(loop, heartbeatInterval, &ProcessHealth{}, fleet)
	store := writequeue.New(loop, writequeue.Config{
		RequestRPS:    100,
		WriteRPS:      25,
		BudgetShare:   0.9,
		MaxTxnOps:     20,
		Controllers:   len(nodes),
		ShareByDemand: func(limit, _ float64, live int) float64 { return limit / float64(live) },
	}, nil)
	config := Config{
		Self:                "n0",
		Nodes:               nodes,
		InstanceID:          "b0",
		FeatureLevel:        1,
		MaxValueBytes:       16384,
		HeartbeatInterval:   heartbeatInterval,
		PingInterval:        second,
		PingTimeout:         second,
		PingRetries:         5,
		InitialRetryTimeout: second / 10,
		ProbeCount:          5,
		ProbeInterval:       second / 2,
	}
	return &testMembers{Members: New(loop, config, store, workers, host), loop: loop, host: host, fleet: fleet}
}

// advance lets time pass without running timers.
func (m *testMembers) advance(duration cluster.Time) { m.loop.Begin(m.loop.Now()+duration, 0) }

// TestSilentWorkers: workers count as out of reach after three heartbeat intervals
// without a heartbeat, or half of that in a large fleet, unless a single one is
// silent, which may just hang. They stay so until one is heard or answers.
func TestSilentWorkers(t *testing.T) {
	for _, test := range []struct {
		name     string
		machines int
		silence  cluster.Time
		want     bool
	}{
		{"no machine", 0, 100 * second, true},
		{"one silent machine", 1, 100 * second, true},
		{"small fleet within three intervals", 2, 7 * second, true},
		{"small fleet after three intervals", 2, 8 * second, false},
		{"large fleet within half of that", largeFleetSize, 3 * second, true},
		{"large fleet after half of that", largeFleetSize, 4 * second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newTestMembers()
			m.fleet.machines = test.machines
			m.workers.RecordOwnedHeartbeat()
			m.advance(test.silence)
			if got := m.workers.CanReachWorkers(); got != test.want {
				t.Errorf("in reach: %v, want %v", got, test.want)
			}
		})
	}
}

// TestWorkersInReachAgain: workers that were out of reach are in reach again only
// once one has answered a probe, also when this controller owns no machine any more.
func TestWorkersInReachAgain(t *testing.T) {
	m := newTestMembers()
	m.fleet.machines = 2
	m.advance(100 * second)
	if m.workers.CanReachWorkers() {
		t.Fatal("silent workers count as in reach")
	}
	m.fleet.machines = 0
	if m.workers.CanReachWorkers() {
		t.Error("workers count as in reach as soon as their shards are given up")
	}
	m.workers.Probe()
	query, ok := m.loop.Effects()[0].(messages.QueryWorkerStatus)
	if !ok {
		t.Fatalf("no worker was asked: %v", m.loop.Effects())
	}
	m.loop.Deliver(messages.Reply{Call: query.Call, Body: messages.PushCommandsReply{Outcome: messages.OK}})
	if !m.workers.CanReachWorkers() {
		t.Error("a worker has answered, and none counts as in reach")
	}
}

// TestFailureDetection: a peer that answers nothing is suspected after the ping and
// five retries, and unreachable after five probes more; refused calls, which come
// back at once, do not shorten that. It is reachable again with its first answer.
func TestFailureDetection(t *testing.T) {
	m := newTestMembers()
	peer := m.Peer("n1")
	answers := false
	m.Start()
	began := m.loop.Now()
	var suspectedAt, unreachableAt cluster.Time
	step := func() {
		effects := m.loop.Effects()
		m.advance(10 * millisecond)
		for _, effect := range effects {
			call, ok := effect.(messages.PeerCall)
			if !ok {
				continue
			}
			reply := messages.PeerReply{Outcome: messages.NotApplied}
			if answers || call.To != "n1" {
				reply = messages.PeerReply{Outcome: messages.OK, Message: messages.PeerMessage{Ping: &messages.Ping{StoreReachable: true, WorkersReachable: true}}}
			}
			m.loop.Deliver(messages.Reply{Call: call.Call, Body: reply})
		}
		m.loop.RunTimers()
	}
	for m.loop.Now() < began+10*second {
		step()
		if suspectedAt == 0 && peer.IsSuspected() {
			suspectedAt = m.loop.Now() - began
		}
		if unreachableAt == 0 && peer.IsUnreachable() {
			unreachableAt = m.loop.Now() - began
		}
	}
	// The ping's second, and 0.1 + 0.2 + 0.4 + 0.8 s of the first retries.
	if suspectedAt < 5*second/2 || suspectedAt > 3*second {
		t.Errorf("suspected after %d ms", suspectedAt/millisecond)
	}
	// Then 1.6 s of the last retry, and four probes' 0.5 s.
	if unreachableAt < 6*second || unreachableAt > 13*second/2 {
		t.Errorf("unreachable after %d ms", unreachableAt/millisecond)
	}
	if m.host.reachabilityChanges != 1 || m.host.reviews < 2 || m.store.LiveControllers() != 6 {
		t.Errorf("%d changes, %d reviews, %d live controllers", m.host.reachabilityChanges, m.host.reviews, m.store.LiveControllers())
	}
	answers = true
	for range 100 {
		step()
	}
	if peer.IsUnreachable() || peer.IsSuspected() || m.store.LiveControllers() != 7 {
		t.Errorf("after its answer: unreachable %v, suspected %v, %d live controllers", peer.IsUnreachable(), peer.IsSuspected(), m.store.LiveControllers())
	}
}

// TestUnreachablePeerSeenAlive: an unreachable peer counts as failed unless another
// peer hears it, or the state service shows that it lives; a node that hears nobody
// waits longer.
func TestUnreachablePeerSeenAlive(t *testing.T) {
	hearsAll := func(m *testMembers, contact map[cluster.NodeID]int64) {
		for _, peer := range m.Peers() {
			if !peer.IsUnreachable() {
				m.HandlePingReply(peer, &messages.Ping{StoreReachable: true, WorkersReachable: true, MillisSinceContact: contact}, m.loop.Now())
			}
		}
	}
	for _, test := range []struct {
		name    string
		prepare func(*testMembers)
		after   cluster.Time
		want    bool
	}{
		{"others do not hear it", func(m *testMembers) { hearsAll(m, nil) }, 0, true},
		{"others heard it long ago", func(m *testMembers) { hearsAll(m, map[cluster.NodeID]int64{"n1": 3000}) }, 0, true},
		{"others hear it", func(m *testMembers) { hearsAll(m, map[cluster.NodeID]int64{"n1": 2999}) }, 0, false},
		{"its liveness key has changed", func(m *testMembers) {
			m.Peer("n1").recoverySeenAt = m.loop.Now()
			hearsAll(m, nil)
		}, 0, false},
		{"nobody is heard, at once", func(*testMembers) {}, 0, false},
		{"nobody is heard for a while", func(*testMembers) {}, 7 * second, true},
		{"nobody is heard, and its writes are seen", func(m *testMembers) {
			m.Peer("n1").instanceID = "b1"
			m.advance(3 * second)
			m.RecordWrite("b1")
		}, 4 * second, false},
		{"nobody is heard, and the state service serves since a moment", func(m *testMembers) {
			m.store.Health.HealthySince = m.loop.Now()
		}, 7 * second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newTestMembers()
			peer := m.Peer("n1")
			peer.unreachable, peer.unreachableSince = true, m.loop.Now()
			m.store.Health.HealthySince = second
			test.prepare(m)
			m.advance(test.after)
			if got := m.IsFailed("n1"); got != test.want {
				t.Errorf("failed: %v, want %v", got, test.want)
			}
		})
	}
}

// TestAllUpgraded: what a peer says itself counts before what claim records list.
func TestAllUpgraded(t *testing.T) {
	m := newTestMembers()
	if m.AllUpgraded() {
		t.Error("peers that were never heard of count as upgraded")
	}
	m.RecordUpgraded("n1", "n2", "n3", "n4", "n5", "n6")
	if !m.AllUpgraded() {
		t.Error("peers that claim records list count as not upgraded")
	}
	if err := m.HandlePing(m.Peer("n3"), &messages.Ping{InstanceID: "b3"}); err != nil {
		t.Fatal(err)
	}
	if m.AllUpgraded() {
		t.Error("a peer whose pings are of an earlier release counts as upgraded")
	}
}

// TestOverloadStretchesDelays: an overloaded process decides less often, but at least
// each second.
func TestOverloadStretchesDelays(t *testing.T) {
	const delay = 100 * millisecond
	for _, test := range []struct {
		name string
		load messages.ProcessLoad
		want cluster.Time
	}{
		{"at the limits", messages.ProcessLoad{CPUUsage: 0.75, EventDelay: 150 * millisecond}, delay},
		{"above that of the processor", messages.ProcessLoad{CPUUsage: 0.76}, 500 * millisecond},
		{"above that of events", messages.ProcessLoad{EventDelay: 200 * millisecond}, 600 * millisecond},
		{"far above", messages.ProcessLoad{EventDelay: 20 * second}, second},
	} {
		health := ProcessHealth{}
		health.RecordLoad(test.load)
		if got := health.StretchDelay(delay); got != test.want {
			t.Errorf("%s: %d ms, want %d ms", test.name, got/millisecond, test.want/millisecond)
		}
	}
}
