package provisioning

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// TestReleaseRecordedBeforeCall shows that a release is written first, and that the cloud
// is called only for a machine whose record says that it is released.
func TestReleaseRecordedBeforeCall(t *testing.T) {
	h := newHarness(t)
	machine := h.addMachines(1)[0]
	h.ScaleIn.Release(machine, "idle")
	h.ScaleIn.Release(machine, "idle") // has no further effect
	if len(h.host.written) != 1 || !machine.Releasing {
		t.Fatalf("the release was written %d times", len(h.host.written))
	}
	h.ScaleIn.ScheduleCall()
	h.pass(scaleInDelay)
	if _, called := takeEffect[messages.CloudScaleIn](t, h); called {
		t.Fatal("the cloud was called before the release is recorded")
	}
	machine.ConfirmRelease()
	h.ScaleIn.ScheduleCall()
	h.ScaleIn.ScheduleCall()
	h.pass(scaleInDelay)
	call, called := takeEffect[messages.CloudScaleIn](t, h)
	if !called || !slices.Equal(call.IDs, []cluster.MachineID{machine.ID}) {
		t.Fatalf("the cloud was called for %v", call.IDs)
	}
	h.loop.Deliver(messages.Reply{Call: call.Call, Body: messages.ScaleInReply{Outcome: messages.OK}})
	if !machine.Terminated || len(h.host.written) != 2 {
		t.Error("that the machine is gone is not written")
	}
}

// TestScaleInCallRepeated shows that machines whose call has failed are in a later call
// again, not before a pause, and that one call has no more than the protocol allows.
func TestScaleInCallRepeated(t *testing.T) {
	h := newHarness(t)
	for _, machine := range h.addMachines(MaxMachinesPerScaleIn + 20) {
		machine.ConfirmRelease()
	}
	nextCall := func() messages.CloudScaleIn {
		h.RateLimiter.bucket.Fill() // the share of requests is not what is tested
		h.ScaleIn.ScheduleCall()
		h.pass(scaleInDelay)
		call, _ := takeEffect[messages.CloudScaleIn](t, h)
		return call
	}
	first := nextCall()
	if len(first.IDs) != MaxMachinesPerScaleIn {
		t.Fatalf("%d machines in one call", len(first.IDs))
	}
	h.loop.Deliver(messages.Reply{Call: first.Call, Body: messages.ScaleInReply{Outcome: messages.UnknownOutcome}})
	if second := nextCall(); len(second.IDs) != 20 || slices.Contains(second.IDs, first.IDs[0]) {
		t.Errorf("%d machines in the second call, 20 were in no call before", len(second.IDs))
	}
	if third := nextCall(); len(third.IDs) != 0 {
		t.Errorf("%d machines are in two calls", len(third.IDs))
	}
	h.pass(scaleInRetryDelay)
	if again := nextCall(); !slices.Equal(again.IDs, first.IDs) {
		t.Errorf("after the pause %d machines are in the call again, want %d", len(again.IDs), len(first.IDs))
	}
}

// TestReleasesSharedLogLine shows that the releases of a second share one line for the
// operators, with their number by reason.
func TestReleasesSharedLogLine(t *testing.T) {
	h := newHarness(t)
	machines := h.addMachines(3)
	h.ScaleIn.Release(machines[0], "silent and not listed")
	h.ScaleIn.Release(machines[1], "idle")
	h.ScaleIn.Release(machines[2], "idle")
	h.takeEffects() // the lines for each machine
	h.pass(releaseLogDelay)
	line, logged := takeEffect[messages.Log](t, h)
	want := []any{"idle", 2, "silent_and_not_listed", 1, "live_tasks", 0}
	if !logged || line.Level != messages.LogInfo || !slices.Equal(line.Args, want) {
		t.Errorf("logged %v, want %v", line.Args, want)
	}
}

// TestFailedMachineReleased shows that a machine which the cloud says has failed is
// released once it is silent, and that others are not.
func TestFailedMachineReleased(t *testing.T) {
	for _, test := range []struct {
		name     string
		status   string
		silence  cluster.Time
		released bool
	}{
		{"failed and silent", "failed", 10*second + 1, true},
		{"failed, but heard of", "failed", 10 * second, false},
		{"running and silent", "running", 60 * second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			machine := h.addMachines(1)[0]
			machine.LastHeartbeat = h.loop.Now() - test.silence
			h.List.Apply([]cluster.ListedMachine{{ID: machine.ID, Status: test.status}})
			if machine.Releasing != test.released {
				t.Errorf("released: %v, want %v", machine.Releasing, test.released)
			}
		})
	}
}
