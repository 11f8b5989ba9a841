package controller

import (
	"maps"
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// TestTransferAbortedWhenShardIsLost checks that machines stay with the shard that
// offered them if the recipient shard is lost before the transfer is confirmed. When they were
// dropped at the transfer, their workers got 503 and no tasks until the shard changed owners.
func TestTransferAbortedWhenShardIsLost(t *testing.T) {
	h := newControllerHarness()
	source, recipient := h.state.Shards[0], h.state.Shards[1]
	kind := grouprecord.Kind{Type: "small", Zone: "a"}
	h.inventory.RegisterMachines(source, []grouprecord.Machine{{ID: "m-1", Kind: kind, Address: "m-1"}}, func() {})
	h.runFor(100 * millisecond)
	group := h.state.Groups[slices.Sorted(maps.Keys(h.state.Groups))[0]]
	group.Offer = &state.GroupOffer{ToShard: recipient.ID, Until: h.loop.Now() + 5*second}
	h.store.revision++
	h.store.keys[recipient.Key()] = messages.KV{Key: recipient.Key(), Value: []byte(`{"holder":"n1","term":2,"w":"b1-1"}`), ModRevision: cluster.ModRevision(h.store.revision)}
	h.inventory.AcquireGroup(recipient, group.Key(), group.ModRevision)
	h.runFor(200 * millisecond)

	if recipient.Owned {
		t.Fatal("the recipient is still owned after another controller's claim")
	}
	machine := h.state.Machines["m-1"]
	if machine == nil || machine.ShardID != source.ID || h.state.Groups[group.ID] != group {
		t.Fatal("the machine is unknown although its record lists it for an owned shard")
	}
	if group.WritePending || group.WriteInFlight {
		t.Error("the group still has a pending write")
	}
	h.inventory.WriteMachine(machine, writequeue.PriorityStart)
	h.runFor(200 * millisecond)
	if kv := h.store.get(group.Key()).KV; group.ModRevision != kv.ModRevision || group.ModRevision <= 31 {
		t.Errorf("the group's record can't be written: known mod revision %d, stored %d", group.ModRevision, kv.ModRevision)
	}
}

// TestTokenAfterTransfer guards against ran_twice: the token of a transferred machine is higher
// than any that the previous owner has sent, so that late starts of that owner are rejected.
func TestTokenAfterTransfer(t *testing.T) {
	h := newControllerHarness()
	source, recipient := h.state.Shards[0], h.state.Shards[1]
	kind := grouprecord.Kind{Type: "small", Zone: "a"}
	h.inventory.RegisterMachines(source, []grouprecord.Machine{{ID: "m-1", Kind: kind, Address: "m-1"}}, func() {})
	h.runFor(100 * millisecond)
	machine := h.state.Machines["m-1"]
	h.inventory.WriteMachine(machine, writequeue.PriorityStart)
	h.runFor(100 * millisecond)
	if !machine.AdvanceToken() {
		t.Fatal("the token was not advanced")
	}
	group, sent := machine.Group, machine.Token
	offered := group.ModRevision
	group.Offer = &state.GroupOffer{ToShard: recipient.ID, Until: h.loop.Now() + 5*second}
	h.inventory.AcquireGroup(recipient, group.Key(), offered)
	h.runFor(200 * millisecond)
	machine = h.state.Machines["m-1"]
	if machine == nil || machine.ShardID != recipient.ID {
		t.Fatalf("the machine was not transferred: %+v", machine)
	}
	if machine.RequiredToken <= sent {
		t.Errorf("token %d is required after the transfer, which is not higher than %d of the previous owner", machine.RequiredToken, sent)
	}
}

// TestLateTransferOffer guards against ran_twice: a late copy of an offer must not transfer a
// group of another controller that has changed since, nor one whose machines are in use.
func TestLateTransferOffer(t *testing.T) {
	const stored = cluster.ModRevision(30)
	kind := grouprecord.Kind{Type: "small", Zone: "a"}
	task := grouprecord.Task{ID: cluster.TaskID{Job: "j-1"}, Attempt: 7}
	for _, test := range []struct {
		name     string
		offered  cluster.ModRevision
		machine  grouprecord.Machine
		acquired bool
	}{
		{"unchanged since the offer", stored, grouprecord.Machine{ID: "m-1", Kind: kind, Address: "m-1"}, true},
		{"changed since the offer", stored - 1, grouprecord.Machine{ID: "m-1", Kind: kind, Address: "m-1"}, false},
		{"with a task", stored, grouprecord.Machine{ID: "m-1", Kind: kind, Address: "m-1", Tasks: []grouprecord.Task{task}}, false},
		{"being released", stored, grouprecord.Machine{ID: "m-1", Kind: kind, Address: "m-1", Releasing: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newControllerHarness()
			source, recipient := h.state.Shards[2], h.state.Shards[0]
			source.Owned, source.Owner = false, "n2"
			h.store.keys[source.Key()] = messages.KV{Key: source.Key(), Value: []byte(`{"holder":"n2","term":1,"w":"b2-1"}`), ModRevision: 30}
			key := state.GroupKey("b2-30-1")
			value := grouprecord.Encode(grouprecord.Record{ShardID: source.ID, Machines: []grouprecord.Machine{test.machine}})
			h.store.keys[key] = messages.KV{Key: key, Value: value, ModRevision: stored}
			h.inventory.AcquireGroup(recipient, key, test.offered)
			h.runFor(200 * millisecond)
			if acquired := h.state.Machines["m-1"] != nil; acquired != test.acquired {
				t.Errorf("acquired: %v, want %v", acquired, test.acquired)
			}
			if changed := h.store.keys[key].ModRevision != stored; changed != test.acquired {
				t.Errorf("record changed: %v, want %v", changed, test.acquired)
			}
		})
	}
}
