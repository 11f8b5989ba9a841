package membership

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// TestSilentWorkers checks the heartbeat timeout of small and large fleets, and that a
// single silent worker does not make the workers count as unreachable.
func TestSilentWorkers(t *testing.T) {
	for _, test := range []struct {
		name     string
		machines int
		silence  cluster.Time
		want     bool
	}{
		{"no machines", 0, 100 * second, true},
		{"one silent machine", 1, 100 * second, true},
		{"small fleet before the timeout", 2, 7 * second, true},
		{"small fleet after the timeout", 2, 8 * second, false},
		{"large fleet before half of the timeout", largeFleetSize, 3 * second, true},
		{"large fleet after half of the timeout", largeFleetSize, 4 * second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newTestMembers()
			m.fleet.machines = test.machines
			m.workers.RecordOwnedHeartbeat()
			m.advance(test.silence)
			if got := m.workers.CanReachWorkers(); got != test.want {
				t.Errorf("workers reachable: %v, want %v", got, test.want)
			}
		})
	}
}

// TestWorkersReachableAgain checks that unreachable workers count as reachable only once
// one has answered, and not as soon as this controller loses its machines.
func TestWorkersReachableAgain(t *testing.T) {
	m := newTestMembers()
	m.fleet.machines = 2
	m.advance(100 * second)
	if m.workers.CanReachWorkers() {
		t.Fatal("silent workers count as reachable")
	}
	m.fleet.machines = 0
	if m.workers.CanReachWorkers() {
		t.Error("workers count as reachable as soon as their shards are lost")
	}
	m.workers.Probe()
	query, ok := m.loop.Effects()[0].(messages.QueryWorkerStatus)
	if !ok {
		t.Fatalf("effects %v, want a status query to a worker", m.loop.Effects())
	}
	m.loop.Deliver(messages.Reply{Call: query.Call, Body: messages.WorkerReply{Outcome: messages.OK}})
	if !m.workers.CanReachWorkers() {
		t.Error("workers count as unreachable after one has answered")
	}
}
