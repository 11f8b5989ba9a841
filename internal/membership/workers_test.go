package membership

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

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
