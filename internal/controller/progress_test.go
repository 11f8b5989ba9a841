package controller

import (
	"fmt"
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// loggedStalls returns the logged reasons why shards make no progress.
func loggedStalls(effects []messages.Effect) []string {
	var reasons []string
	for _, effect := range effects {
		if line, ok := effect.(messages.Log); ok && line.Message == "shard makes no progress" {
			reasons = append(reasons, fmt.Sprint(line.Args[3]))
		}
	}
	return reasons
}

// receivePing delivers a peer's ping, which must be valid.
func (h *controllerHarness) receivePing(from *membership.Peer, ping *messages.Ping) {
	if err := h.members.HandlePing(from, ping); err != nil {
		panic(err)
	}
}

// runStallChecks runs count progress checks at intervals of 2 s, during which only pings
// arrive, and returns the logged reasons.
func (h *controllerHarness) runStallChecks(count int) []string {
	takeEffects(h.Controller)
	for range count {
		setTime(h.Controller, h.loop.Now()+2*second)
		for _, peer := range h.members.Peers() {
			h.receivePing(peer, peer.LastPing())
		}
		h.checkShardProgress()
	}
	return loggedStalls(h.loop.Effects())
}

// TestStalledShardIsLogged checks that a shard without an owner, or whose owner makes no
// progress, is logged as stalled, and that other shards are not.
func TestStalledShardIsLogged(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(*controllerHarness)
		want    string
	}{
		{"all shards idle", func(*controllerHarness) {}, ""},
		{"no owner", func(h *controllerHarness) {
			h.state.Shards[0].Owned, h.state.Shards[0].Owner = false, "n1"
		}, "no owner serves it"},
		{"owned by a peer", func(h *controllerHarness) {
			h.state.Shards[0].Owned, h.state.Shards[0].Owner = false, "n1"
			h.receivePing(h.members.Peer("n1"), &messages.Ping{Shards: []messages.ShardTerm{{Shard: 0, Term: 2}}})
		}, ""},
		{"idle machines and pending tasks", func(h *controllerHarness) {
			h.addRunningMachine(h.addTestJob("j-1", 1))
			h.addTestJob("j-2", 2)
		}, "waiting tasks fit on its machines and none is started"},
		{"pending tasks that fit nowhere", func(h *controllerHarness) {
			machine, _ := h.addRunningMachine(h.addTestJob("j-1", 1))
			machine.Draining = true
			h.addTestJob("j-2", 2)
		}, ""},
		{"pending tasks bound to another zone", func(h *controllerHarness) {
			h.addRunningMachine(h.addTestJob("j-1", 1))
			far := h.inventory.AddMachine(h.state.AddGroup(h.state.Shards[0], "far", 31), grouprecord.Machine{ID: "m-9", Kind: grouprecord.Kind{Type: "small", Zone: "b"}}, 31)
			job := h.addTestJob("j-2", 2)
			job.Spec.Colocate = true
			job.SetAssigned(0, &state.Assignment{Task: cluster.TaskID{Job: "j-2", Index: 0}, Job: job, MachineID: far.ID, Phase: state.PhaseAcknowledged})
		}, ""},
		{"a record that is never stored", func(h *controllerHarness) {
			machine, _ := h.addRunningMachine(h.addTestJob("j-1", 1))
			machine.Group.WritePending = true
		}, "its writes are not stored"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newControllerHarness()
			test.prepare(h)
			heartbeat := func() { // the machines keep sending heartbeats
				for _, machine := range h.state.Machines {
					machine.LastHeartbeat = h.loop.Now() + 2*second
				}
			}
			var logged []string
			for range stallThreshold {
				heartbeat()
				logged = append(logged, h.runStallChecks(1)...)
			}
			want := []string{test.want}
			if test.want == "" {
				want = nil
			}
			if !slices.Equal(logged, want) {
				t.Errorf("logged %q, want %q", logged, want)
			}
			if stalled := h.stalledShardCount(); stalled != len(want) {
				t.Errorf("%d shards stalled, want %d", stalled, len(want))
			}
		})
	}
}

// TestProgressEndsStall checks that a single stored transaction restarts the count of
// checks without progress.
func TestProgressEndsStall(t *testing.T) {
	h := newControllerHarness()
	h.inventory.RegisterMachines(h.state.Shards[0], []grouprecord.Machine{{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a"}, Address: "m-1"}}, func() {})
	h.runFor(100 * millisecond)
	machine := h.state.Machines["m-1"]
	machine.Group.WritePending = true
	h.runStallChecks(stallThreshold - 1)
	h.state.Shards[0].StoredTransactions++
	if logged := h.runStallChecks(stallThreshold - 1); len(logged) > 0 {
		t.Errorf("logged %q despite progress", logged)
	}
}
