package reconcile

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// unknownMachine is a machine that is not owned here; its number points to shard 0.
const unknownMachine = cluster.MachineID("m-000003")

var unknownKind = grouprecord.Kind{Type: "small", Zone: "a"}

// unknownHeartbeat is a heartbeat of unknownMachine.
func unknownHeartbeat(request messages.RequestID) messages.Heartbeat {
	status := cluster.HeartbeatStatus{
		Machine: unknownMachine, Type: unknownKind.Type, Zone: unknownKind.Zone, Addr: "m-3",
		Incarnation: 1, SequenceNumber: 1, PreemptionNotice: -1,
	}
	return messages.Heartbeat{Request: request, Status: status}
}

// recordedMachines is what records list that list some machines and no open request.
func recordedMachines(listed ...cluster.MachineID) *state.RecordedMachines {
	recorded := &state.RecordedMachines{RequestedKinds: map[grouprecord.Kind]bool{}, Listed: map[cluster.MachineID]bool{}}
	for _, id := range listed {
		recorded.Listed[id] = true
	}
	return recorded
}

// responsesAndQueries picks the answers out of effects, and counts the queries of workers.
func responsesAndQueries(effects []messages.Effect) (responses []messages.Respond, queries int) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case messages.Respond:
			responses = append(responses, effect)
		case messages.QueryWorkerStatus:
			queries++
		}
	}
	return responses, queries
}

// TestUnknownHeartbeat: a worker whose machine is not owned here is sent to the owner if a
// record lists the machine. Only if none does, and no open provisioning request may be
// about to, is the machine asked for its status in order to be registered.
func TestHeartbeatFromUnknownMachine(t *testing.T) {
	requested := recordedMachines()
	requested.RequestedKinds[unknownKind] = true
	for _, test := range []struct {
		name           string
		recorded       *state.RecordedMachines
		ownedElsewhere bool // shard 0 has another owner
		status         messages.ReplyStatus
		redirectTo     cluster.NodeID
		queries        int
	}{
		{name: "records can't be read", status: messages.ReplyUnavailable},
		{name: "listed", recorded: recordedMachines(unknownMachine), status: messages.ReplyMisdirected, redirectTo: "n1"},
		{name: "an open request of its kind", recorded: requested, status: messages.ReplyUnavailable},
		{name: "orphan", recorded: recordedMachines(), status: messages.ReplyUnavailable, queries: 1},
		{name: "orphan of another shard", recorded: recordedMachines(), ownedElsewhere: true, status: messages.ReplyMisdirected, redirectTo: "n2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.recorded, h.listingShard = test.recorded, 1
			h.state.Shards[1].Owner = "n1"
			if test.ownedElsewhere {
				h.state.Shards[0].Owned, h.state.Shards[0].Owner = false, "n2"
			}
			h.Heartbeats.Handle(unknownHeartbeat(1))
			h.Heartbeats.Handle(unknownHeartbeat(2))
			responses, queries := responsesAndQueries(h.runFor(second))
			if len(responses) != 2 || h.recordReads != 1 {
				t.Fatalf("%d answers after %d readings, want 2 after 1", len(responses), h.recordReads)
			}
			response := responses[0]
			if response.Status != test.status {
				t.Errorf("status %v, want %v", response.Status, test.status)
			}
			if test.redirectTo != "" && response.Heartbeat.RedirectTo != test.redirectTo {
				t.Errorf("redirected to %q, want %q", response.Heartbeat.RedirectTo, test.redirectTo)
			}
			if queries != test.queries {
				t.Errorf("queried %d times, want %d", queries, test.queries)
			}
		})
	}
}

// TestOrphanAdoptedAfterMinimumAge: a machine in the cloud's list is adopted when no record
// has listed it for long enough, counted from the first reading of the records without
// it. A machine just released is still in the list for a while.
func TestOrphanAdoptedAfterMinimumAge(t *testing.T) {
	h := newHarness(t)
	h.recorded = recordedMachines(unknownMachine)
	listed := cluster.ListedMachine{ID: unknownMachine, Type: "small", Zone: "a", Addr: "m-3", AgeSeconds: 500}
	h.Orphans.HandleListed(listed)
	h.runFor(h.Orphans.minAge() + second)
	h.recorded = recordedMachines() // released by its owner
	begin := h.loop.Now()
	for len(h.registered) == 0 && h.loop.Now() < begin+2*h.Orphans.minAge() {
		h.Orphans.HandleListed(listed)
		h.runFor(second)
	}
	if !slices.Equal(h.registered, []cluster.MachineID{unknownMachine}) {
		t.Fatalf("registered %v, want the machine once", h.registered)
	}
	if age := h.loop.Now() - begin; age < h.Orphans.minAge() {
		t.Errorf("adopted after %d s, want %d s at least", age/second, h.Orphans.minAge()/second)
	}
}

// TestShardForMachine: unknown machines are spread over the shards by their number.
func TestShardForMachine(t *testing.T) {
	h := newHarness(t)
	for id, want := range map[cluster.MachineID]cluster.ShardID{
		"m-000007":      1,
		"m-000003":      0,
		"i-5":           2,
		"machine":       0,
		"m-1-2":         2,
		"m-20000000001": 1, // its last ten digits count
	} {
		if got := h.Orphans.ShardFor(id).ID; got != want {
			t.Errorf("%s: shard %d, want %d", id, got, want)
		}
	}
}
