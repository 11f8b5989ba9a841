package core

import "testing"

// The guards of a zone that is cut off with machines and controllers in it:
// inside, a controller lets go of its machines; outside, what they may run is
// not started again.

// reportStatus is the status with which a report of a machine is answered.
func reportStatus(b *bench, m *machine) int {
	b.out = nil
	b.onCheckin(Checkin{Req: 1, Report: Report{Machine: m.id, Addr: m.addr, Session: m.session, Stamp: m.stamp + 1, Token: m.token, Notice: -1}})
	b.now += reportHold
	b.flush()
	for _, effect := range b.out {
		if answer, ok := effect.(Respond); ok {
			return answer.Status
		}
	}
	return 0
}

// TestCutOffHolderLetsMachinesGo: a holder inside the zone has lost the state
// service and at least one other controller, which may have claimed its part. It
// answers its machines for a lease where it hears nobody, so that they have a
// lease left to find their new holder in, and in any case only as long as the
// time for a cancellation allows.
func TestCutOffHolderLetsMachinesGo(t *testing.T) {
	newHolder := func() *bench {
		b := newBench()
		b.storeUp.failing, b.storeUp.since = true, b.now
		for _, peer := range b.peers {
			answerPing(b, peer.id, 1)
		}
		return b
	}
	config := newHolder().cfg
	entitlement := Entitlement(config.CancelWithin, config.Lease)
	if entitlement < config.Lease+2*second {
		t.Fatalf("entitled for %d s: no later than isolated", entitlement/second)
	}
	for _, test := range []struct {
		name   string
		after  Time
		hears  bool // the other controller in the zone
		status int
	}{
		{"hears nobody, within the lease", config.Lease - 2*second, false, 200},
		{"hears nobody, after the lease", config.Lease + second, false, 421},
		{"hears one, after the lease", config.Lease + second, true, 200},
		{"hears one, too late for a cancellation", entitlement + second, true, 421},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHolder()
			m, _ := b.running(b.job("j-1", 1))
			b.now += test.after
			if test.hears {
				answerPing(b, "n1", 1)
			}
			if status := reportStatus(b, m); status != test.status {
				t.Errorf("a report is answered with %d, want %d", status, test.status)
			}
		})
	}
}

// TestTaskOfCutZoneNotStartedAgain: a controller outside has claimed the part. A
// task that the record lists on a silent machine of the zone is not started on a
// free machine outside, until the cloud has taken the silent one back and the
// record says so.
func TestTaskOfCutZoneNotStartedAgain(t *testing.T) {
	b := newBench()
	part := b.parts[0]
	job := b.job("j-1", 1)
	task := TaskID{Job: "j-1", Index: 0}
	cut := listedMachine{id: "m-1", kind: groupKind{"small", "a", false}, addr: "m-1", tasks: []listedTask{{task, 7}}}
	record := KV{"groups/cut", encodeGroup(0, []listedMachine{cut}, "b9-1"), 25}
	b.store.keys[record.Key] = record
	b.learnGroup(record, part)
	outside := b.addMachine(b.newGroup(part, "outside", 26), listedMachine{id: "m-2", kind: groupKind{"small", "b", false}, addr: "m-2"}, 31)
	b.store.keys["groups/outside"] = KV{"groups/outside", encodeGroup(0, []listedMachine{{id: "m-2", kind: groupKind{"small", "b", false}, addr: "m-2"}}, "b9-2"), 26}
	outside.acked, outside.session, outside.stamp = true, 1, 1

	startedOutside := func() bool {
		b.placePart(part)
		return outside.assigns[task] != nil
	}
	if startedOutside() {
		t.Error("started outside while the record lists it on a machine of the zone")
	}
	b.machineGone(b.machines["m-1"])
	if startedOutside() {
		t.Error("started outside before the record shows that the machine is gone")
	}
	b.play(second)
	outside.heard = b.now
	if !startedOutside() || job.pending() != 0 {
		t.Error("not started outside though the machine is gone and the record says so")
	}
}
