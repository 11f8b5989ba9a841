package reconcile

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// unknownMachine is a machine that the controller does not know. ShardFor maps it to
// shard 0.
const unknownMachine = cluster.MachineID("m-000003")

var unknownKind = grouprecord.Kind{Type: "small", Zone: "a"}

// unknownHeartbeat returns a heartbeat from unknownMachine.
func unknownHeartbeat(request messages.RequestID) messages.Heartbeat {
	status := cluster.HeartbeatStatus{
		Machine: unknownMachine, Type: unknownKind.Type, Zone: unknownKind.Zone, Addr: "m-3",
		Incarnation: 1, SequenceNumber: 1, PreemptionNotice: -1,
	}
	return messages.Heartbeat{Request: request, Status: status}
}

// recordedMachines returns the contents of records that list the given machines and no
// provisioning request.
func recordedMachines(listed ...cluster.MachineID) *state.RecordedMachines {
	recorded := &state.RecordedMachines{RequestedKinds: map[grouprecord.Kind]bool{}, Listed: map[cluster.MachineID]bool{}}
	for _, id := range listed {
		recorded.Listed[id] = true
	}
	return recorded
}

// responsesAndQueries returns the responses among effects and the number of queries to
// workers.
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

// TestHeartbeatFromUnknownMachine checks that a worker is redirected to the owner of its
// machine, and that it is queried only if no record lists the machine or requests its kind.
func TestHeartbeatFromUnknownMachine(t *testing.T) {
	requested := recordedMachines()
	requested.RequestedKinds[unknownKind] = true
	for _, test := range []struct {
		name           string
		recorded       *state.RecordedMachines
		ownedElsewhere bool // another controller owns shard 0
		status         messages.ResponseStatus
		redirectTo     cluster.NodeID
		queries        int
	}{
		{name: "records can't be read", status: messages.StatusUnavailable},
		{name: "listed", recorded: recordedMachines(unknownMachine), status: messages.StatusMisdirected, redirectTo: "n1"},
		{name: "open provisioning request for its kind", recorded: requested, status: messages.StatusUnavailable},
		{name: "orphan", recorded: recordedMachines(), status: messages.StatusUnavailable, queries: 1},
		{name: "orphan of another shard", recorded: recordedMachines(), ownedElsewhere: true, status: messages.StatusMisdirected, redirectTo: "n2"},
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
				t.Fatalf("%d responses after %d reads of the records, want 2 after 1", len(responses), h.recordReads)
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

// TestOrphanRegisteredAfterMinimumAge checks that a machine in the cloud's list is registered
// only after no record has listed it for the minimum age.
func TestOrphanRegisteredAfterMinimumAge(t *testing.T) {
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
		t.Fatalf("registered %v, want the orphan once", h.registered)
	}
	if age := h.loop.Now() - begin; age < h.Orphans.minAge() {
		t.Errorf("registered after %d s, want at least %d s", age/second, h.Orphans.minAge()/second)
	}
}

// TestShardForMachine checks that machines are mapped to shards by the trailing digits of
// their IDs.
func TestShardForMachine(t *testing.T) {
	h := newHarness(t)
	for id, want := range map[cluster.MachineID]cluster.ShardID{
		"m-000007":      1,
		"m-000003":      0,
		"i-5":           2,
		"machine":       0,
		"m-1-2":         2,
		"m-20000000001": 1, // only the last ten digits are used
	} {
		if got := h.Orphans.ShardFor(id).ID; got != want {
			t.Errorf("%s: shard %d, want %d", id, got, want)
		}
	}
}
