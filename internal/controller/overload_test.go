package controller

import (
	"slices"
	"testing"
	"time"

	"stairrelay/internal/scheduling"
	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/grouprecord"
)

// TestOverloadedController: a process near its share of the processor decides less often,
// refuses what it can't take in time, and pushes starts only to machines that would
// otherwise send no heartbeat for a while.
func TestOverloadedController(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0"}, HeartbeatInterval: 5 * second, StoreRPS: 100, WriteRPS: 100, MaxValueBytes: 4096, MaxTxnOps: 12,
		Teams: []cluster.Team{{Name: "red", QuotaLimit: cluster.Resources{CPU: 100_000_000}}}, Tuning: DefaultTuning()})
	j := state.NewJob(cluster.JobSpec{ID: "j-1", Team: "red", Tasks: 9, ResourceRequest: cluster.Resources{CPU: 1_000_000}}, 0, 0, 0)
	c.state.AddOwnedJob(j)
	g := c.state.AddGroup(c.state.Shards[0], "g", 1)
	put := func(m *state.Machine, i int, ph state.AssignmentPhase) {
		a := &state.Assignment{Task: cluster.TaskID{Job: "j-1", Index: i}, Job: j, ResourceRequest: j.Spec.ResourceRequest, MachineID: m.ID, Phase: ph}
		m.AddAssignment(a)
		j.SetAssigned(i, a)
	}
	var ms []*state.Machine
	for i, id := range []cluster.MachineID{"busy", "idle"} {
		m := c.inventory.AddMachine(g, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: string(id)}, 5)
		m.TokenAcknowledged = true
		put(m, i, state.PhaseReady)
		ms = append(ms, m)
	}
	put(ms[0], 2, state.PhaseAcknowledged)
	pushedTo := func(load messages.ProcessLoad) (addresses []string) {
		for _, m := range ms {
			m.PushInFlight = false
			m.Assignments[cluster.TaskID{Job: "j-1", Index: slices.Index(ms, m)}].Phase = state.PhaseReady
			c.reconciler.Commands.QueuePush(m)
		}
		takeEffects(c)
		c.processHealth.RecordLoad(load)
		c.reconciler.Commands.PushQueued()
		for _, effect := range c.loop.Effects() {
			push, ok := effect.(messages.PushCommands)
			if !ok {
				t.Fatalf("effect %T", effect)
			}
			addresses = append(addresses, push.Addr)
		}
		return addresses
	}
	if addresses := pushedTo(messages.ProcessLoad{CPUUsage: 0.4}); len(addresses) != 2 {
		t.Errorf("without load, starts are pushed to %v", addresses)
	}
	if addresses := pushedTo(messages.ProcessLoad{CPUUsage: 0.9}); len(addresses) != 1 || addresses[0] != "idle" {
		t.Errorf("overloaded, starts are pushed to %v", addresses)
	}
	if d := c.processHealth.StretchDelay(scheduling.MinInterval); d <= scheduling.MinInterval || d > second {
		t.Errorf("overloaded, placements are %v apart", time.Duration(d))
	}
	c.processHealth.RecordLoad(messages.ProcessLoad{EventDelay: 2 * second})
	if c.jobs.Submissions.OverloadRetryAfter(cluster.BestEffort) == 0 || c.jobs.Submissions.OverloadRetryAfter(cluster.Normal) == 0 || c.jobs.Submissions.OverloadRetryAfter(cluster.Production) != 0 {
		t.Errorf("2 s behind: refused for %d, %d, %d s", c.jobs.Submissions.OverloadRetryAfter(cluster.BestEffort), c.jobs.Submissions.OverloadRetryAfter(cluster.Normal), c.jobs.Submissions.OverloadRetryAfter(cluster.Production))
	}
}
