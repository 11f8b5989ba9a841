package controller_test

import (
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/messages"
	"stairrelay/internal/simulation"
)

const (
	second      = cluster.Time(time.Second)
	millisecond = cluster.Time(time.Millisecond)
	cpu         = cluster.Amount(1_000_000)
)

// zones are the zones of the test cloud.
var zones = []string{"a", "b", "c"}

func testConfig() controller.Config {
	return controller.Config{
		Nodes: []cluster.NodeID{"n0", "n1", "n2"},
		Teams: []cluster.Team{
			testTeam("red", 8*cpu, 14*cpu),
			testTeam("green", 8*cpu, 16*cpu),
			testTeam("blue", 6*cpu, 10*cpu),
		},
		HeartbeatInterval: 2 * second,
		WorkerLease:       12 * second,
		CancelDeadline:    37 * second,
		StoreRPS:          150,
		WriteRPS:          40,
		MaxValueBytes:     4096,
		MaxTxnOps:         12,
		CloudRPS:          6,
		CloudListLag:      3 * second,
		Tuning:            controller.DefaultTuning(),
	}
}

// sevenNodeConfig has more controllers than teams, one team without guaranteed
// quota or quota limit, a short lease, and a slow cloud list.
func sevenNodeConfig() controller.Config {
	cfg := testConfig()
	cfg.Nodes = []cluster.NodeID{"n0", "n1", "n2", "n3", "n4", "n5", "n6"}
	cfg.Teams = []cluster.Team{{Name: "red", QuotaLimit: cluster.Resources{CPU: cluster.NoLimit, GPU: cluster.NoLimit}}}
	cfg.HeartbeatInterval = 5 * second / 2
	cfg.WorkerLease = 14 * second
	cfg.CancelDeadline = 34 * second
	cfg.StoreRPS = 100
	cfg.WriteRPS = 25
	cfg.MaxValueBytes = 16384
	cfg.MaxTxnOps = 20
	cfg.CloudRPS = 4
	cfg.CloudListLag = 8 * second
	return cfg
}

// testTeam is a team with quotas for CPUs.
func testTeam(name string, guaranteed, limit cluster.Amount) cluster.Team {
	return cluster.Team{
		Name:            name,
		GuaranteedQuota: cluster.Resources{CPU: guaranteed},
		QuotaLimit:      cluster.Resources{CPU: limit},
	}
}

// newSimulator makes a cluster on the test cloud.
func newSimulator(seed uint64, cfg controller.Config, options ...simulation.Option) *simulation.Simulator {
	var sim *simulation.Simulator
	cloud := testCloud(func() *simulation.Simulator { return sim })
	sim = simulation.NewSimulator(seed, cfg, cloud, options...)
	return sim
}

// testCloud makes a small cloud whose boot durations are drawn by a simulator.
func testCloud(simulator func() *simulation.Simulator) *simulation.FakeCloud {
	types := []cluster.MachineType{
		{Name: "small", Capacity: cluster.Resources{CPU: 4 * cpu, Memory: 16 * cpu}, CacheGB: 20, FetchGBPerSecond: 0.3, OnDemandPrice: 0.2, SpotPrice: 0.07, BootSeconds: 15, Zones: zones},
		{Name: "big", Capacity: cluster.Resources{CPU: 16 * cpu, Memory: 64 * cpu}, CacheGB: 20, FetchGBPerSecond: 0.3, OnDemandPrice: 0.9, SpotPrice: 0.3, BootSeconds: 25, Zones: []string{"a", "b"}},
	}
	capacity := map[string]int{
		simulation.CapacityKey("big", "a", true):  1,
		simulation.CapacityKey("big", "b", false): 1,
	}
	for _, zone := range zones {
		capacity[simulation.CapacityKey("small", zone, true)] = 3
		capacity[simulation.CapacityKey("small", zone, false)] = 2
	}
	return simulation.NewFakeCloud(types, capacity, func() cluster.Time { return randomBootDuration(simulator()) })
}

// drawBootDuration draws how long a machine takes to boot; one in ten takes
// unusually long, or hardly any time.
func randomBootDuration(sim *simulation.Simulator) cluster.Time {
	switch {
	case sim.Machines.HasFastBoots():
		return sim.RandomBetween(second, 2*second)
	case sim.Chance(0.1):
		return sim.RandomBetween(second, 200*second)
	default:
		return sim.RandomBetween(9*second, 22*second)
	}
}

// addMachinesPerZone puts small on-demand machines into each zone, up at once.
func addMachinesPerZone(sim *simulation.Simulator, count int) {
	for _, zone := range zones {
		for range count {
			sim.Machines.Add("small", zone, false)
		}
	}
}

// newJobSpec describes a job of small tasks.
func newJobSpec(id cluster.JobID, team string, tasks int, run cluster.Time) cluster.JobSpec {
	return cluster.JobSpec{
		ID:              id,
		Class:           "c",
		Team:            team,
		Priority:        cluster.Normal,
		Tasks:           tasks,
		ResourceRequest: cluster.Resources{CPU: cpu, Memory: cpu},
		Image:           "img",
		ImageGB:         1,
		RuntimeSeconds:  float64(run) / float64(second),
	}
}

// newJob makes a job whose tasks run for a time.
func newJob(spec cluster.JobSpec, run cluster.Time) *simulation.Job {
	return &simulation.Job{
		Spec: spec,
		Info: simulation.JobInfo{
			ResourceRequest: spec.ResourceRequest,
			RunDuration:     run,
			TaskCount:       spec.Tasks,
			Image:           spec.Image,
		},
	}
}

// wallTime is the wall time of a simulated time.
func wallTime(now cluster.Time) cluster.WallTime { return cluster.WallTime(now / millisecond) }

// submitRequest is a user's submission.
func submitRequest(spec cluster.JobSpec) func(messages.RequestID) messages.Event {
	return func(id messages.RequestID) messages.Event { return messages.Submit{Request: id, Spec: spec} }
}

// queryRequest is a user's query.
func queryRequest(job cluster.JobID) func(messages.RequestID) messages.Event {
	return func(id messages.RequestID) messages.Event { return messages.Query{Request: id, ID: job} }
}

// cancelRequest is a user's cancellation.
func cancelRequest(job cluster.JobID) func(messages.RequestID) messages.Event {
	return func(id messages.RequestID) messages.Event { return messages.Cancel{Request: id, ID: job} }
}

// heartbeatRequest is a worker's heartbeat.
func heartbeatRequest(status cluster.HeartbeatStatus) func(messages.RequestID) messages.Event {
	return func(id messages.RequestID) messages.Event { return messages.Heartbeat{Request: id, Status: status} }
}
