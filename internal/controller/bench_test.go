package controller_test

import (
	"fmt"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation"
)

// BenchmarkClusterSecond measures a simulated second of a loaded cluster of
// three cores: reports, placement, writes, polls.
func BenchmarkClusterSecond(b *testing.B) {
	sim := newSimulator(1, testConfig())
	sim.NoRandomFaults = true
	addMachinesPerZone(sim, 5)
	sim.RunUntil(5 * second)
	for i := range 60 {
		s := cluster.JobSpec{ID: cluster.JobID(fmt.Sprintf("j-%06d", i)), Class: "c", Team: []string{"red", "green", "blue"}[i%3], Priority: cluster.Normal,
			Tasks: 1000, ResourceRequest: cluster.Resources{CPU: cpu, Memory: cpu}, Image: "img", ImageGB: 1, RuntimeSeconds: 4, Spot: true}
		sim.Users.Submit(&simulation.Job{Spec: s, Info: simulation.JobInfo{ResourceRequest: s.ResourceRequest, RunDuration: 4 * second, TaskCount: s.Tasks, Image: s.Image}})
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

// BenchmarkFleet measures a simulated second of a fleet with some tasks running
// on each machine and hundreds of jobs waiting. core-ms/s is what one core takes
// of a second, us/step and allocs/step what one event costs it, bytes/machine
// what the cores keep; the rest is the stand-ins'.
func BenchmarkFleet(b *testing.B) {
	for _, machines := range []int{500, 1000, 2000, 4000, 8000} {
		b.Run(fmt.Sprintf("%d-machines", machines), func(b *testing.B) { benchFleet(b, 3, machines) })
	}
}

func benchFleet(b *testing.B, nodes, machines int) {
	cfg := testConfig()
	cfg.Nodes, cfg.Teams = nil, nil
	for i := range nodes {
		cfg.Nodes = append(cfg.Nodes, cluster.NodeID(fmt.Sprintf("n%d", i)))
	}
	for i := range 6 {
		cfg.Teams = append(cfg.Teams, cluster.Team{Name: fmt.Sprintf("t%d", i), GuaranteedQuota: cluster.Resources{CPU: cpu * cluster.Amount(machines) / 2}, QuotaLimit: cluster.Resources{CPU: cpu * cluster.Amount(machines) * 3 / 2}})
	}
	cfg.HeartbeatInterval, cfg.WorkerLease = 5*second, 26*second
	cfg.StoreRPS, cfg.WriteRPS, cfg.MaxValueBytes, cfg.MaxTxnOps = 500, 100, 8192, 16
	sim := newSimulator(1, cfg)
	sim.NoRandomFaults = true
	for i := range machines {
		sim.Machines.Add("small", []string{"a", "b", "c"}[i%3], false)
	}
	sim.RunUntil(10 * second)
	for i := range machines * 9 / 19 {
		s := cluster.JobSpec{ID: cluster.JobID(fmt.Sprintf("j-%06d", i)), Class: fmt.Sprintf("c%d", i%3), Team: cfg.Teams[i%6].Name, Priority: cluster.Priority(i % 3),
			Tasks: 10 + 30*(i%7), ResourceRequest: cluster.Resources{CPU: cpu * cluster.Amount(1+i%2), Memory: 3 * cpu}, Image: fmt.Sprintf("img-%d", i%20), ImageGB: 1, RuntimeSeconds: 25, Spot: true}
		sim.Users.Submit(&simulation.Job{Spec: s, Info: simulation.JobInfo{ResourceRequest: s.ResourceRequest, RunDuration: 25 * second, TaskCount: s.Tasks, Image: s.Image}})
	}
	sim.RunUntil(60 * second)
	b.ResetTimer()
	sim.ControllerTime, sim.StepCount, sim.Allocations = 0, 0, 0
	for range b.N {
		sim.RunUntil(sim.Now + second)
	}
	b.ReportMetric(float64(sim.ControllerTime.Milliseconds())/float64(b.N)/float64(nodes), "core-ms/s")
	b.ReportMetric(float64(sim.ControllerTime.Microseconds())/float64(sim.StepCount), "us/step")
	running := 0
	for _, l := range sim.Machines.Workers {
		running += len(l.Tasks)
	}
	b.ReportMetric(float64(running), "tasks")
	b.StopTimer()
	sim.CountAllocations, sim.StepCount, sim.Allocations = true, 0, 0
	sim.RunUntil(sim.Now + second)
	b.ReportMetric(float64(sim.Allocations)/float64(sim.StepCount), "allocs/step")
	if len(sim.Violations) > 0 {
		b.Fatal(sim.Violations)
	}
}
