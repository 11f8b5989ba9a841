package provisioning

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// TestReleaseRecordedBeforeCall checks that the cloud is called only for a machine whose
// release is stored. Otherwise another shard could acquire the machine.
func TestReleaseRecordedBeforeCall(t *testing.T) {
	h := newHarness(t)
	machine := h.ownShardWithMachines(1)[0]
	h.ScaleIn.Release(machine, "idle")
	h.ScaleIn.Release(machine, "idle") // has no further effect
	if len(h.fakes.written) != 1 || !machine.Releasing {
		t.Fatalf("the release was written %d times, want once", len(h.fakes.written))
	}
	h.ScaleIn.ScheduleCall()
	h.advance(scaleInDelay)
	if _, called := takeEffect[messages.CloudScaleIn](t, h); called {
		t.Fatal("the cloud was called before the release was stored")
	}
	machine.ConfirmRelease()
	h.ScaleIn.ScheduleCall()
	h.ScaleIn.ScheduleCall()
	h.advance(scaleInDelay)
	call, called := takeEffect[messages.CloudScaleIn](t, h)
	if !called || !slices.Equal(call.IDs, []cluster.MachineID{machine.ID}) {
		t.Fatalf("the cloud was called for %v, want the released machine", call.IDs)
	}
	h.loop.Deliver(messages.Reply{Call: call.Call, Body: messages.ScaleInReply{Outcome: messages.OK}})
	if !machine.Terminated || len(h.fakes.written) != 2 {
		t.Error("the termination of the machine was not written")
	}
}

// TestScaleInCallRetried checks that the machines of a failed call are retried after a
// delay, and that no call exceeds the limit of the API.
func TestScaleInCallRetried(t *testing.T) {
	h := newHarness(t)
	for _, machine := range h.ownShardWithMachines(MaxMachinesPerScaleIn + 20) {
		machine.ConfirmRelease()
	}
	nextCall := func() messages.CloudScaleIn {
		h.RateLimiter.bucket.Fill() // the rate limit is not tested here
		h.ScaleIn.ScheduleCall()
		h.advance(scaleInDelay)
		call, _ := takeEffect[messages.CloudScaleIn](t, h)
		return call
	}
	first := nextCall()
	if len(first.IDs) != MaxMachinesPerScaleIn {
		t.Fatalf("%d machines in the first call, want the maximum", len(first.IDs))
	}
	h.loop.Deliver(messages.Reply{Call: first.Call, Body: messages.ScaleInReply{Outcome: messages.UnknownOutcome}})
	if second := nextCall(); len(second.IDs) != 20 || slices.Contains(second.IDs, first.IDs[0]) {
		t.Errorf("%d machines in the second call, want the 20 that were in no call before", len(second.IDs))
	}
	if third := nextCall(); len(third.IDs) != 0 {
		t.Errorf("%d machines in the third call, want 0 because all are in a call or wait for a retry", len(third.IDs))
	}
	h.advance(scaleInRetryDelay)
	if again := nextCall(); !slices.Equal(again.IDs, first.IDs) {
		t.Errorf("after the delay %d machines are in the call, want %d", len(again.IDs), len(first.IDs))
	}
}

// TestReleasesLoggedTogether checks that releases within a second share one log line
// with their counts by reason.
func TestReleasesLoggedTogether(t *testing.T) {
	h := newHarness(t)
	machines := h.ownShardWithMachines(3)
	h.ScaleIn.Release(machines[0], "silent and not listed")
	h.ScaleIn.Release(machines[1], "idle")
	h.ScaleIn.Release(machines[2], "idle")
	h.takeEffects() // the debug lines of the machines
	h.advance(releaseLogDelay)
	line, logged := takeEffect[messages.Log](t, h)
	want := []any{"idle", 2, "silent_and_not_listed", 1, "live_tasks", 0}
	if !logged || line.Level != messages.LogInfo || !slices.Equal(line.Args, want) {
		t.Errorf("logged %v, want %v", line.Args, want)
	}
}

// TestFailedMachineReleased checks that a machine is released only if its status is
// failed and its heartbeats have stopped.
func TestFailedMachineReleased(t *testing.T) {
	for _, test := range []struct {
		name     string
		status   string
		silence  cluster.Time
		released bool
	}{
		{"failed and silent", "failed", 10*second + 1, true},
		{"failed with recent heartbeat", "failed", 10 * second, false},
		{"running and silent", "running", 60 * second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			machine := h.ownShardWithMachines(1)[0]
			machine.LastHeartbeat = h.loop.Now() - test.silence
			h.List.Apply([]cluster.ListedMachine{{ID: machine.ID, Status: test.status}})
			if machine.Releasing != test.released {
				t.Errorf("released: %v, want %v", machine.Releasing, test.released)
			}
		})
	}
}
