package controller

import (
	"slices"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/scheduling"
	"stairrelay/internal/state"
)

// TestOverloadedController checks that an overloaded controller schedules less often,
// rejects low-priority jobs, and pushes no starts to machines that run tasks.
func TestOverloadedController(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0"}, HeartbeatInterval: 5 * second, StoreRPS: 100, WriteRPS: 100, MaxValueBytes: 4096, MaxTxnOps: 12,
		Teams: []cluster.Team{{Name: "red", QuotaLimit: cluster.Resources{CPU: 100_000_000}}}, Tuning: DefaultTuning()})
	job := state.NewJob(cluster.JobSpec{ID: "j-1", Team: "red", Tasks: 9, ResourceRequest: cluster.Resources{CPU: 1_000_000}}, 0, 0, 0)
	c.state.AddOwnedJob(job)
	group := c.state.AddGroup(c.state.Shards[0], "g", 1)
	assign := func(machine *state.Machine, index int, phase state.AssignmentPhase) {
		assignment := &state.Assignment{Task: cluster.TaskID{Job: "j-1", Index: index}, Job: job, ResourceRequest: job.Spec.ResourceRequest, MachineID: machine.ID, Phase: phase}
		machine.AddAssignment(assignment)
		job.SetAssigned(index, assignment)
	}
	var machines []*state.Machine
	for i, id := range []cluster.MachineID{"busy", "idle"} {
		machine := c.inventory.AddMachine(group, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: string(id)}, 5)
		machine.TokenAcknowledged = true
		assign(machine, i, state.PhaseReady)
		machines = append(machines, machine)
	}
	assign(machines[0], 2, state.PhaseAcknowledged)
	pushedTo := func(load messages.ProcessLoad) (addresses []string) {
		for _, machine := range machines {
			machine.PushInFlight = false
			machine.Assignments[cluster.TaskID{Job: "j-1", Index: slices.Index(machines, machine)}].Phase = state.PhaseReady
			c.reconciler.Commands.QueuePush(machine)
		}
		takeEffects(c)
		c.processHealth.RecordLoad(load)
		c.reconciler.Commands.PushQueued()
		for _, effect := range c.loop.Effects() {
			push, ok := effect.(messages.PushCommands)
			if !ok {
				t.Fatalf("unexpected effect %T", effect)
			}
			addresses = append(addresses, push.Addr)
		}
		return addresses
	}
	if addresses := pushedTo(messages.ProcessLoad{CPUUsage: 0.4}); len(addresses) != 2 {
		t.Errorf("without load, starts are pushed to %v, want both machines", addresses)
	}
	if addresses := pushedTo(messages.ProcessLoad{CPUUsage: 0.9}); len(addresses) != 1 || addresses[0] != "idle" {
		t.Errorf("overloaded, starts are pushed to %v, want only the idle machine", addresses)
	}
	if delay := c.processHealth.StretchDelay(scheduling.MinInterval); delay <= scheduling.MinInterval || delay > second {
		t.Errorf("overloaded, the scheduling interval is %v, want a longer one than without load but at most 1s", time.Duration(delay))
	}
	c.processHealth.RecordLoad(messages.ProcessLoad{EventDelay: 2 * second})
	retryAfter := c.jobs.Submissions.OverloadRetryAfter
	if retryAfter(cluster.BestEffort) == 0 || retryAfter(cluster.Normal) == 0 || retryAfter(cluster.Production) != 0 {
		t.Errorf("with an event delay of 2 s: retry after %d, %d, %d s for best effort, normal, production; want 0 only for production", retryAfter(cluster.BestEffort), retryAfter(cluster.Normal), retryAfter(cluster.Production))
	}
}
