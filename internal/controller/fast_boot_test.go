package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/inventory"
	"stairrelay/internal/messages"
	"stairrelay/internal/reconcile"
	"stairrelay/internal/state"
)

// These tests cover machines that boot before the records that list them are stored.

const fastBootMachine = cluster.MachineID("m-3") // maps to shard 0

// countStarts returns the number of start commands in pushes and in heartbeat
// responses.
func countStarts(effects []messages.Effect) int {
	var sent []cluster.Command
	for _, effect := range effects {
		switch effect := effect.(type) {
		case messages.PushCommands:
			sent = append(sent, effect.Commands...)
		case messages.Respond:
			if effect.Heartbeat != nil {
				sent = append(sent, effect.Heartbeat.Commands...)
			}
		}
	}
	starts := 0
	for _, command := range sent {
		if command.Kind == cluster.Start {
			starts++
		}
	}
	return starts
}

// flushEffects runs the work that is due at the end of an event loop step and returns its
// effects. Earlier effects are discarded.
func flushEffects(h *controllerHarness) []messages.Effect {
	takeEffects(h.Controller)
	h.flush()
	return h.loop.Effects()
}

// firstHeartbeat returns the first heartbeat of a machine that has just booted.
func firstHeartbeat(id cluster.MachineID) messages.Heartbeat {
	return messages.Heartbeat{Request: 1, Status: cluster.HeartbeatStatus{Machine: id, Addr: string(id), Type: "small", Zone: "a", Incarnation: 1, SequenceNumber: 1, PreemptionNotice: -1}}
}

// effectsDuring advances the time by a duration, replies to requests to the store, and
// returns the effects that follow the replies.
func effectsDuring(h *controllerHarness, d cluster.Time) []messages.Effect {
	var effects []messages.Effect
	for end := h.loop.Now() + d; h.loop.Now() < end; {
		h.runFor(0)
		effects = append(effects, h.loop.Effects()...)
	}
	return effects
}

// lastTransaction returns the last transaction among the effects. The result is nil if
// there is none.
func lastTransaction(effects []messages.Effect) *messages.StoreTxn {
	var last *messages.StoreTxn
	for _, effect := range effects {
		if transaction, ok := effect.(messages.StoreTxn); ok {
			last = &transaction
		}
	}
	return last
}

// TestStartWaitsForRecord checks that no task is started on a new machine before a record
// that lists the task is stored. Otherwise a new owner would start the task again.
func TestStartWaitsForRecord(t *testing.T) {
	for _, test := range []struct {
		name   string
		reply  messages.TxnReply
		starts int
	}{
		{"stored", messages.TxnReply{Outcome: messages.OK, Revision: 50}, 1},
		{"conflict", messages.TxnReply{Outcome: messages.Conflict, FailedKeys: []string{"groups/g"}}, 0},
		{"unknown outcome", messages.TxnReply{Outcome: messages.UnknownOutcome}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newControllerHarness()
			h.addTestJob("j-1", 1)
			machines := []grouprecord.Machine{{ID: fastBootMachine, Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Booting: true}}
			h.inventory.AddNewGroup(&inventory.NewGroup{ID: "g", Shard: h.state.Shards[0], Machines: machines}, 31)
			h.state.Groups["g"].RecordSize = 100
			h.reconciler.Heartbeats.Handle(firstHeartbeat(fastBootMachine))
			effects := flushEffects(h)
			record := lastTransaction(effects)
			if record == nil || len(h.state.Machines[fastBootMachine].Assignments) != 1 {
				t.Fatal("the machine got no task, or its record is not written")
			}
			for range 10 { // longer than a heartbeat is held
				setTime(h.Controller, h.loop.Now()+reconcile.MaxHeartbeatHold/4)
				effects = append(effects, flushEffects(h)...)
			}
			if n := countStarts(effects); n != 0 {
				t.Errorf("%d starts before the record is stored", n)
			}
			h.loop.Deliver(messages.Reply{Call: record.Call, Body: test.reply})
			if n := countStarts(flushEffects(h)); n != test.starts {
				t.Errorf("%d starts after the store's reply, want %d", n, test.starts)
			}
		})
	}
}

// TestProvisionedMachineAlwaysRecorded checks that after each transaction the store
// contains the provisioning request or its machine, so that a failover loses no machine.
func TestProvisionedMachineAlwaysRecorded(t *testing.T) {
	h := newControllerHarness()
	shard := h.state.Shards[0]
	recorded := func() bool {
		for _, kv := range h.store.list("groups/", 0) {
			record, err := grouprecord.Decode(kv.Value)
			if err != nil {
				t.Fatal(err)
			}
			if len(record.Machines) == 1 && record.Machines[0].ID == fastBootMachine {
				return true
			}
		}
		return len(h.store.list("rentals/", 0)) > 0
	}
	states := 0
	h.losesReply = func(messages.StoreTxn) bool { // called after each transaction
		if states++; !recorded() {
			t.Errorf("after transaction %d the store contains neither the request nor its machine", states)
		}
		return false
	}
	h.provisioner.Requests.Create(shard, state.ProvisioningOption{Type: "small", Zone: "a", Spot: false}, 1)
	for _, effect := range effectsDuring(h, second) {
		if requested, ok := effect.(messages.CloudScaleOut); ok {
			h.loop.Deliver(messages.Reply{Call: requested.Call, Body: messages.ScaleOutReply{Outcome: messages.OK, IDs: []cluster.MachineID{fastBootMachine}}})
		}
	}
	h.runFor(second)
	if len(shard.ProvisioningRequests) != 0 || h.state.Machines[fastBootMachine] == nil || states < 2 {
		t.Errorf("%d requests are open after %d transactions, want none; the machine is %v", len(shard.ProvisioningRequests), states, h.state.Machines[fastBootMachine])
	}
}

// TestMachineOfOpenProvisioningNotRegistered checks that a machine is not registered while
// a provisioning request for its kind is open, as the machine might be recorded twice.
func TestMachineOfOpenProvisioningNotRegistered(t *testing.T) {
	for _, test := range []struct {
		name, zone string
		queried    bool
	}{
		{"a request of its kind is open", "a", false},
		{"a request of another zone is open", "b", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newControllerHarness()
			record := `{"p":1,"f":"small","y":"` + test.zone + `","n":1,"w":"b1-1"}`
			h.store.keys["rentals/r-1"] = messages.KV{Key: "rentals/r-1", Value: []byte(record), ModRevision: 29}
			h.reconciler.Orphans.HandleHeartbeat(firstHeartbeat(fastBootMachine))
			queried := false
			for _, effect := range effectsDuring(h, second) {
				_, ok := effect.(messages.QueryWorkerStatus)
				queried = queried || ok
			}
			if queried != test.queried {
				t.Errorf("machine is queried for its registration: %v, want %v", queried, test.queried)
			}
		})
	}
}
