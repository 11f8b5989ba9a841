package controller

import (
	"testing"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"

	"stairrelay/internal/grouprecord"
)

// TestPreemptionSparesFirstTask: the first task of a job that had waited too long is not
// stopped for an urgent job; one of a job that has not waited is.
func TestPreemptionSparesFirstTask(t *testing.T) {
	for _, waited := range []bool{true, false} {
		c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0"}, HeartbeatInterval: 5 * second, StoreRPS: 100, WriteRPS: 100, MaxValueBytes: 4096, MaxTxnOps: 12,
			Teams: []cluster.Team{{Name: "red", QuotaLimit: cluster.Resources{CPU: 100_000_000}}}, Tuning: DefaultTuning()})
		c.state.MachineTypes["small"] = cluster.MachineType{Name: "small", Capacity: cluster.Resources{CPU: 4_000_000, Memory: 16_000_000}, Zones: []string{"a"}}
		p := c.state.Shards[0]
		m := c.inventory.AddMachine(c.state.AddGroup(p, "g", 1), grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}}, 5)
		m.TokenAcknowledged = true
		c.loop.Begin(c.loop.Now(), 1_000_000)
		at := c.loop.WallTime() - 1000
		if waited {
			at = c.loop.WallTime() - cluster.WallTime(c.config.Tuning.FirstTaskTarget/millisecond)*3/4
		}
		old := state.NewJob(cluster.JobSpec{ID: "j-1", Team: "red", Tasks: 9, ResourceRequest: cluster.Resources{CPU: 4_000_000}, CheckpointSeconds: 10, SubmittedAt: at}, 0, 0, 0)
		urgent := state.NewJob(cluster.JobSpec{ID: "j-2", Team: "red", Tasks: 1, ResourceRequest: cluster.Resources{CPU: 4_000_000}, Priority: cluster.Urgent, SubmittedAt: c.loop.WallTime()}, 0, 0, 0)
		c.state.AddOwnedJob(old)
		c.state.AddOwnedJob(urgent)
		a := &state.Assignment{Task: cluster.TaskID{Job: "j-1", Index: 0}, Job: old, ResourceRequest: old.Spec.ResourceRequest, MachineID: "m-1", Phase: state.PhaseAcknowledged, State: cluster.Running}
		m.AddAssignment(a)
		old.SetAssigned(0, a)
		c.preempt(p, []*state.Job{urgent}, map[*state.Job]bool{}, p.UsageByTeam())
		if a.StopRequested == waited {
			t.Errorf("waited %v: stopped %v", waited, a.StopRequested)
		}
	}
}

// TestSpotPreference: of two machines that are equal otherwise, work that would lose much
// on a spot machine gets the ordinary one and work that saves leaves it that;
// where no great loss is to be expected the kind does not matter.
func TestSpotPreference(t *testing.T) {
	c := newSevenNodeController()
	for range 10 { // two an hour
		c.provisioner.Spot.RecordInterruption()
	}
	c.provisioner.Spot.AddServed(20_000 * second)
	c.state.MachineTypes["small"] = cluster.MachineType{Name: "small", FetchGBPerSecond: 0.25}
	p, spot, own := c.state.Shards[0], true, false
	like := func(run, checkpoint float64) *state.Job {
		return &state.Job{Spec: cluster.JobSpec{Spot: true, RuntimeSeconds: run, CheckpointSeconds: checkpoint, ImageGB: 1.5, Class: "c"}}
	}
	short, long, saves := like(15, 0), like(60, 0), like(60, 30)
	if !c.isMarketSuited(p, long, own) || c.isMarketSuited(p, long, spot) {
		t.Error("60 s that can't be saved are sent to a spot machine")
	}
	if c.isMarketSuited(p, short, own) != c.isMarketSuited(p, short, spot) || c.isMarketSuited(p, saves, own) != c.isMarketSuited(p, saves, spot) {
		t.Error("the kind of machine matters where no loss is to be expected")
	}
	c.config.SLOs = []cluster.SLO{{Kind: "deadline", Class: "tight", DeadlineFactor: 1}, {Kind: "finished", Class: "c", WithinSeconds: 80}}
	due := like(15, 0)
	due.Spec.Tasks = 20
	few := like(15, 0)
	few.Spec.Class, few.Spec.DeadlineSeconds, few.Spec.Tasks = "tight", 40, 3
	if !c.isMarketSuited(p, few, spot) {
		t.Error("three short tasks, of which hardly ever one is lost, are scattered over ordinary machines")
	}
	if due.Spec.Class, due.Spec.DeadlineSeconds = "tight", 40; c.isMarketSuited(p, due, spot) || !c.isMarketSuited(p, short, spot) {
		t.Error("a job that could not make its deadline with a task begun anew goes to spot machines, or one with time to spare does not")
	}
	if p.AvoidSpot = true; c.isMarketSuited(p, saves, own) || !c.isMarketSuited(p, saves, spot) {
		t.Error("work that saves does not leave the ordinary machine to others")
	}
	if c.isOnDemandWorthFetching(long) || !c.isOnDemandWorthFetching(like(150, 0)) {
		t.Error("a new fetch of 6 s is not weighed against the expected loss")
	}
}
