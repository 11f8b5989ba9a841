package core

import (
	"testing"

	"stairrelay/internal/grouprecord"
)

// Machines that are up moments after they were rented, while writes lag.

const quickMachine = MachineID("m-3") // its number belongs to part 0

// startsIn counts the starts that are sent, by calls and in answers to reports.
func startsIn(effects []Effect) int {
	var sent []Command
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Orders:
			sent = append(sent, effect.Commands...)
		case Respond:
			if effect.Worker != nil {
				sent = append(sent, effect.Worker.Commands...)
			}
		}
	}
	starts := 0
	for _, command := range sent {
		if command.Verb == Start {
			starts++
		}
	}
	return starts
}

// flushed decides on what has changed and returns what is to be done about it.
func flushed(b *coreHarness) []Effect {
	b.out = nil
	b.flush()
	return b.out
}

// firstReport is what a machine that has just come up sends.
func firstReport(id MachineID) Checkin {
	return Checkin{Req: 1, Report: Report{Machine: id, Addr: string(id), Type: "small", Zone: "a", Session: 1, Stamp: 1, Notice: -1}}
}

// effectsWithin lets the store answer for a while and returns what its answers
// brought about.
func effectsWithin(b *coreHarness, d Time) []Effect {
	var effects []Effect
	for end := b.now + d; b.now < end; {
		b.play(0)
		effects = append(effects, b.out...)
	}
	return effects
}

// TestStartAwaitsRecord: a machine comes up and gets a task at once, and the
// write of the record that lists the task has no answer for long. Until the
// store has confirmed it nothing is started: a successor that finds no record of
// the task would start it on another machine as well.
func TestStartAwaitsRecord(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer TxnReply
		starts int
	}{
		{"stored", TxnReply{Out: OK, Epoch: 50}, 1},
		{"refused", TxnReply{Out: Conflict, Failed: []string{"groups/g"}}, 0},
		{"not known", TxnReply{Out: Unknown}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newCoreHarness()
			b.job("j-1", 1)
			b.addGroup(b.parts[0], "g", []grouprecord.Machine{{ID: quickMachine, Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Booting: true}}, 100, 31)
			b.onCheckin(firstReport(quickMachine))
			effects := flushed(b)
			var record *StoreTxn
			for _, effect := range effects {
				if transaction, ok := effect.(StoreTxn); ok {
					record = &transaction
				}
			}
			if record == nil || len(b.machines[quickMachine].assigns) != 1 {
				t.Fatal("the machine got no task, or its record is not written")
			}
			for range 10 { // the answer to the report does not wait that long
				b.now += reportHold / 4
				effects = append(effects, flushed(b)...)
			}
			if n := startsIn(effects); n != 0 {
				t.Errorf("%d starts before the record is stored", n)
			}
			b.calls[record.Call](test.answer)
			if n := startsIn(flushed(b)); n != test.starts {
				t.Errorf("%d starts after the answer, want %d", n, test.starts)
			}
		})
	}
}

// TestRentedMachineAlwaysRecorded: from the recording of a rental until its
// machine is in a group, each state of the store shows one of the two, so that a
// holder which follows at any moment repeats the request or has the machine.
func TestRentedMachineAlwaysRecorded(t *testing.T) {
	b := newCoreHarness()
	part := b.parts[0]
	recorded := func() bool {
		for _, kv := range b.store.list("groups/", 0) {
			record, err := grouprecord.Decode(kv.Value)
			if err != nil {
				t.Fatal(err)
			}
			if len(record.Machines) == 1 && record.Machines[0].ID == quickMachine {
				return true
			}
		}
		return len(b.store.list("rentals/", 0)) > 0
	}
	states := 0
	b.lose = func(StoreTxn) bool { // called after each transaction
		if states++; !recorded() {
			t.Errorf("after transaction %d neither the rental nor its machine is recorded", states)
		}
		return false
	}
	b.startRental(part, rentOption{"small", "a", false}, 1)
	for _, effect := range effectsWithin(b, second) {
		if rent, ok := effect.(CloudRent); ok {
			b.calls[rent.Call](RentReply{Out: OK, IDs: []MachineID{quickMachine}})
		}
	}
	b.play(second)
	if len(part.rentals) != 0 || b.machines[quickMachine] == nil || states < 2 {
		t.Errorf("%d rentals are open after %d transactions, the machine is %v", len(part.rentals), states, b.machines[quickMachine])
	}
}

// TestMachineOfOpenRentalNotEnlisted: a machine reports before the group that
// lists it is stored. While a rental of its kind is open it is left alone: the
// settlement of that one is about to list it, and it would be listed twice.
func TestMachineOfOpenRentalNotEnlisted(t *testing.T) {
	for _, test := range []struct {
		name, zone string
		inspected  bool
	}{
		{"a rental of its kind is open", "a", false},
		{"a rental of another zone is open", "b", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newCoreHarness()
			record := `{"p":1,"f":"small","y":"` + test.zone + `","n":1,"w":"b1-1"}`
			b.store.keys["rentals/r-1"] = KV{"rentals/r-1", []byte(record), 29}
			b.onUnknownReport(firstReport(quickMachine))
			inspected := false
			for _, effect := range effectsWithin(b, second) {
				_, ok := effect.(Inspect)
				inspected = inspected || ok
			}
			if inspected != test.inspected {
				t.Errorf("inspected in order to be enlisted: %v, want %v", inspected, test.inspected)
			}
		})
	}
}
