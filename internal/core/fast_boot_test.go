package core

import (
	"testing"

	"stairrelay/internal/grouprecord"
)

// Machines that are up moments after they were rented, while writes lag.

const fastBootMachine = MachineID("m-3") // its number belongs to part 0

// startsIn counts the starts that are sent, by calls and in answers to reports.
func countStarts(effects []Effect) int {
	var sent []Command
	for _, effect := range effects {
		switch effect := effect.(type) {
		case PushCommands:
			sent = append(sent, effect.Commands...)
		case Respond:
			if effect.Heartbeat != nil {
				sent = append(sent, effect.Heartbeat.Commands...)
			}
		}
	}
	starts := 0
	for _, command := range sent {
		if command.Kind == Start {
			starts++
		}
	}
	return starts
}

// flushed decides on what has changed and returns what is to be done about it.
func flushEffects(b *controllerHarness) []Effect {
	b.effects = nil
	b.flush()
	return b.effects
}

// firstReport is what a machine that has just come up sends.
func firstHeartbeat(id MachineID) Heartbeat {
	return Heartbeat{Request: 1, Status: HeartbeatStatus{Machine: id, Addr: string(id), Type: "small", Zone: "a", Incarnation: 1, SequenceNumber: 1, PreemptionNotice: -1}}
}

// effectsWithin lets the store answer for a while and returns what its answers
// brought about.
func effectsDuring(b *controllerHarness, d Time) []Effect {
	var effects []Effect
	for end := b.now + d; b.now < end; {
		b.runFor(0)
		effects = append(effects, b.effects...)
	}
	return effects
}

// TestStartAwaitsRecord: a machine comes up and gets a task at once, and the
// write of the record that lists the task has no answer for long. Until the
// store has confirmed it nothing is started: a successor that finds no record of
// the task would start it on another machine as well.
func TestStartWaitsForRecord(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer TxnReply
		starts int
	}{
		{"stored", TxnReply{Outcome: OK, Revision: 50}, 1},
		{"refused", TxnReply{Outcome: Conflict, FailedKeys: []string{"groups/g"}}, 0},
		{"not known", TxnReply{Outcome: UnknownOutcome}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newControllerHarness()
			b.addTestJob("j-1", 1)
			b.addRegisteredGroup(b.shards[0], "g", []grouprecord.Machine{{ID: fastBootMachine, Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Booting: true}}, 100, 31)
			b.handleHeartbeat(firstHeartbeat(fastBootMachine))
			effects := flushEffects(b)
			var record *StoreTxn
			for _, effect := range effects {
				if transaction, ok := effect.(StoreTxn); ok {
					record = &transaction
				}
			}
			if record == nil || len(b.machines[fastBootMachine].assignments) != 1 {
				t.Fatal("the machine got no task, or its record is not written")
			}
			for range 10 { // the answer to the report does not wait that long
				b.now += maxHeartbeatHold / 4
				effects = append(effects, flushEffects(b)...)
			}
			if n := countStarts(effects); n != 0 {
				t.Errorf("%d starts before the record is stored", n)
			}
			b.pendingCalls[record.Call](test.answer)
			if n := countStarts(flushEffects(b)); n != test.starts {
				t.Errorf("%d starts after the answer, want %d", n, test.starts)
			}
		})
	}
}

// TestRentedMachineAlwaysRecorded: from the recording of a rental until its
// machine is in a group, each state of the store shows one of the two, so that a
// holder which follows at any moment repeats the request or has the machine.
func TestProvisionedMachineAlwaysRecorded(t *testing.T) {
	b := newControllerHarness()
	part := b.shards[0]
	recorded := func() bool {
		for _, kv := range b.store.list("groups/", 0) {
			record, err := grouprecord.Decode(kv.Value)
			if err != nil {
				t.Fatal(err)
			}
			if len(record.Machines) == 1 && record.Machines[0].ID == fastBootMachine {
				return true
			}
		}
		return len(b.store.list("rentals/", 0)) > 0
	}
	states := 0
	b.losesReply = func(StoreTxn) bool { // called after each transaction
		if states++; !recorded() {
			t.Errorf("after transaction %d neither the rental nor its machine is recorded", states)
		}
		return false
	}
	b.createProvisioningRequest(part, provisioningOption{"small", "a", false}, 1)
	for _, effect := range effectsDuring(b, second) {
		if rent, ok := effect.(CloudScaleOut); ok {
			b.pendingCalls[rent.Call](ScaleOutReply{Outcome: OK, IDs: []MachineID{fastBootMachine}})
		}
	}
	b.runFor(second)
	if len(part.provisioningRequests) != 0 || b.machines[fastBootMachine] == nil || states < 2 {
		t.Errorf("%d rentals are open after %d transactions, the machine is %v", len(part.provisioningRequests), states, b.machines[fastBootMachine])
	}
}

// TestMachineOfOpenRentalNotEnlisted: a machine reports before the group that
// lists it is stored. While a rental of its kind is open it is left alone: the
// settlement of that one is about to list it, and it would be listed twice.
func TestMachineOfOpenProvisioningNotRegistered(t *testing.T) {
	for _, test := range []struct {
		name, zone string
		inspected  bool
	}{
		{"a rental of its kind is open", "a", false},
		{"a rental of another zone is open", "b", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newControllerHarness()
			record := `{"p":1,"f":"small","y":"` + test.zone + `","n":1,"w":"b1-1"}`
			b.store.keys["rentals/r-1"] = KV{"rentals/r-1", []byte(record), 29}
			b.handleUnknownHeartbeat(firstHeartbeat(fastBootMachine))
			inspected := false
			for _, effect := range effectsDuring(b, second) {
				_, ok := effect.(QueryWorkerStatus)
				inspected = inspected || ok
			}
			if inspected != test.inspected {
				t.Errorf("inspected in order to be enlisted: %v, want %v", inspected, test.inspected)
			}
		})
	}
}
