package membership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// fakeHost records the calls of Members.
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

// fakeFleet is a fleet of booted machines, all owned since the same time.
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

// testMembers is the Members of n0, one of seven controllers. Its time starts at 30 s.
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

// healthyPing returns the ping of a peer that reaches the store and its workers.
func healthyPing() *messages.Ping {
	return &messages.Ping{StoreReachable: true, WorkersReachable: true}
}

// advance advances the clock without running timers.
func (m *testMembers) advance(duration cluster.Time) { m.loop.Begin(m.loop.Now()+duration, 0) }
