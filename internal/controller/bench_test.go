package controller_test

import (
	"fmt"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation"
)

// BenchmarkClusterSecond measures one simulated second of a loaded cluster with three
// controllers.
func BenchmarkClusterSecond(b *testing.B) {
	sim := newSimulator(1, testConfig())
	sim.NoRandomFaults = true
	addMachinesPerZone(sim, 5)
	sim.RunUntil(5 * second)
	const run = 4 * second
	for i := range 60 {
		spec := newJobSpec(cluster.JobID(fmt.Sprintf("j-%06d", i)), testTeams[i%len(testTeams)], 1000, run)
		spec.Spot = true
		sim.Users.Submit(newJob(spec, run))
	}
	sim.RunUntil(30 * second)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		sim.RunUntil(sim.Now + second)
	}
	if len(sim.Violations) > 0 {
		b.Fatal(sim.Violations)
	}
}

// BenchmarkFleet measures one simulated second of a loaded fleet. core-ms/s is the CPU
// time of one controller per simulated second; us/step and allocs/step are per event;
// tasks is the final number of tasks on machines. The standard metrics include the
// simulation.
func BenchmarkFleet(b *testing.B) {
	for _, machines := range []int{500, 1000, 2000, 4000, 8000} {
		b.Run(fmt.Sprintf("%d-machines", machines), func(b *testing.B) { benchFleet(b, 3, machines) })
	}
}

func benchFleet(b *testing.B, nodes, machines int) {
	b.Helper()
	sim := newBenchFleet(nodes, machines)
	sim.RunUntil(60 * second)
	b.ResetTimer()
	sim.ControllerTime, sim.StepCount, sim.Allocations = 0, 0, 0
	for range b.N {
		sim.RunUntil(sim.Now + second)
	}
	b.ReportMetric(float64(sim.ControllerTime.Milliseconds())/float64(b.N)/float64(nodes), "core-ms/s")
	b.ReportMetric(float64(sim.ControllerTime.Microseconds())/float64(sim.StepCount), "us/step")
	tasks := 0
	for _, worker := range sim.Machines.Workers {
		tasks += len(worker.Tasks)
	}
	b.ReportMetric(float64(tasks), "tasks")
	b.StopTimer()
	sim.CountAllocations, sim.StepCount, sim.Allocations = true, 0, 0
	sim.RunUntil(sim.Now + second)
	b.ReportMetric(float64(sim.Allocations)/float64(sim.StepCount), "allocs/step")
	if len(sim.Violations) > 0 {
		b.Fatal(sim.Violations)
	}
}

// newBenchFleet returns a fleet of running machines with more jobs than they can run at
// once.
func newBenchFleet(nodes, machines int) *simulation.Simulator {
	cfg := testConfig()
	cfg.Nodes, cfg.Teams = nil, nil
	for i := range nodes {
		cfg.Nodes = append(cfg.Nodes, cluster.NodeID(fmt.Sprintf("n%d", i)))
	}
	size := cpu * cluster.Amount(machines)
	for i := range 6 {
		cfg.Teams = append(cfg.Teams, testTeam(fmt.Sprintf("t%d", i), size/2, size*3/2))
	}
	cfg.HeartbeatInterval, cfg.WorkerLease = 5*second, 26*second
	cfg.StoreRPS, cfg.WriteRPS, cfg.MaxValueBytes, cfg.MaxTxnOps = 500, 100, 8192, 16
	sim := newSimulator(1, cfg)
	sim.NoRandomFaults = true
	for i := range machines {
		sim.Machines.Add("small", zones[i%len(zones)], false)
	}
	sim.RunUntil(10 * second)
	const run = 25 * second
	for i := range machines * 9 / 19 {
		spec := newJobSpec(cluster.JobID(fmt.Sprintf("j-%06d", i)), cfg.Teams[i%len(cfg.Teams)].Name, 10+30*(i%7), run)
		spec.Class = fmt.Sprintf("c%d", i%3)
		spec.Priority = cluster.Priority(i % 3)
		spec.ResourceRequest = cluster.Resources{CPU: cpu * cluster.Amount(1+i%2), Memory: 3 * cpu}
		spec.Image = fmt.Sprintf("img-%d", i%20)
		spec.Spot = true
		sim.Users.Submit(newJob(spec, run))
	}
	return sim
}
