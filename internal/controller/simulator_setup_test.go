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

// sevenNodeConfig returns a configuration with seven controllers, one team without
// guaranteed quota or quota limit, a short cancel deadline and a large lag of the cloud's
// machine list.
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

// testTeam returns a team with CPU quotas.
func testTeam(name string, guaranteed, limit cluster.Amount) cluster.Team {
	return cluster.Team{
		Name:            name,
		GuaranteedQuota: cluster.Resources{CPU: guaranteed},
		QuotaLimit:      cluster.Resources{CPU: limit},
	}
}

// newSimulator returns a simulated cluster on the test cloud.
func newSimulator(seed uint64, cfg controller.Config, options ...simulation.Option) *simulation.Simulator {
	var sim *simulation.Simulator
	cloud := testCloud(func() *simulation.Simulator { return sim })
	sim = simulation.NewSimulator(seed, cfg, cloud, options...)
	return sim
}

// testCloud returns a cloud with little capacity. The boot durations of its machines are
// random numbers of the simulator that getSimulator returns. The parameter is a function
// because the simulator is created after its cloud.
func testCloud(getSimulator func() *simulation.Simulator) *simulation.FakeCloud {
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
	return simulation.NewFakeCloud(types, capacity, func() cluster.Time { return randomBootDuration(getSimulator()) })
}

// randomBootDuration returns how long a machine takes to boot. While fast boots are
// enabled, all machines boot fast. Otherwise one in ten may boot unusually fast or
// slowly.
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

// addMachinesPerZone adds running small on-demand machines to each zone.
func addMachinesPerZone(sim *simulation.Simulator, count int) {
	for _, zone := range zones {
		for range count {
			sim.Machines.Add("small", zone, false)
		}
	}
}

// newJobSpec returns the spec of a job with tasks of one CPU.
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

// newJob returns a job whose tasks run for the given time.
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

// wallTime converts simulated time to wall time.
func wallTime(now cluster.Time) cluster.WallTime { return cluster.WallTime(now / millisecond) }

// submitRequest returns a constructor of a user's submission.
func submitRequest(spec cluster.JobSpec) func(messages.RequestID) messages.Event {
	return func(id messages.RequestID) messages.Event { return messages.Submit{Request: id, Spec: spec} }
}

// queryRequest returns a constructor of a user's query.
func queryRequest(job cluster.JobID) func(messages.RequestID) messages.Event {
	return func(id messages.RequestID) messages.Event { return messages.Query{Request: id, ID: job} }
}

// cancelRequest returns a constructor of a user's cancellation.
func cancelRequest(job cluster.JobID) func(messages.RequestID) messages.Event {
	return func(id messages.RequestID) messages.Event { return messages.Cancel{Request: id, ID: job} }
}

// heartbeatRequest returns a constructor of a worker's heartbeat.
func heartbeatRequest(status cluster.HeartbeatStatus) func(messages.RequestID) messages.Event {
	return func(id messages.RequestID) messages.Event { return messages.Heartbeat{Request: id, Status: status} }
}
