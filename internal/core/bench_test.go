package core_test

import (
	"fmt"
	"testing"

	"stairrelay/internal/core"
	"stairrelay/internal/standin"
)

// BenchmarkClusterSecond measures a simulated second of a loaded cluster of
// three cores: reports, placement, writes, polls.
func BenchmarkClusterSecond(b *testing.B) {
	var w *standin.World
	w = standin.NewWorld(1, testConfig(), testCloud(func() *standin.World { return w }))
	w.Calm = true
	for _, z := range []string{"a", "b", "c"} {
		for range 5 {
			w.AddMachine("small", z, false)
		}
	}
	w.Run(5 * sec)
	for i := range 60 {
		s := core.JobSpec{ID: core.JobID(fmt.Sprintf("j-%06d", i)), Class: "c", Team: []string{"red", "green", "blue"}[i%3], Priority: core.Normal,
			Tasks: 1000, Need: core.Res{CPU: cpu, Mem: cpu}, Image: "img", ImageGB: 1, RuntimeS: 4, Spot: true}
		w.Submit(&standin.Job{Spec: s, Info: standin.JobInfo{Need: s.Need, Run: 4 * sec, Tasks: s.Tasks, Image: s.Image}})
	}
	w.Run(30 * sec)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		w.Run(w.Now + sec)
	}
	if len(w.Broken) > 0 {
		b.Fatal(w.Broken)
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
		cfg.Nodes = append(cfg.Nodes, core.NodeID(fmt.Sprintf("n%d", i)))
	}
	for i := range 6 {
		cfg.Teams = append(cfg.Teams, core.Team{Name: fmt.Sprintf("t%d", i), Guarantee: core.Res{CPU: cpu * core.Amount(machines) / 2}, Limit: core.Res{CPU: cpu * core.Amount(machines) * 3 / 2}})
	}
	cfg.ReportEvery, cfg.Lease = 5*sec, 26*sec
	cfg.StoreRPS, cfg.WriteRPS, cfg.ValueBytes, cfg.TxnOps = 500, 100, 8192, 16
	var w *standin.World
	w = standin.NewWorld(1, cfg, testCloud(func() *standin.World { return w }))
	w.Calm = true
	for i := range machines {
		w.AddMachine("small", []string{"a", "b", "c"}[i%3], false)
	}
	w.Run(10 * sec)
	for i := range machines * 9 / 19 {
		s := core.JobSpec{ID: core.JobID(fmt.Sprintf("j-%06d", i)), Class: fmt.Sprintf("c%d", i%3), Team: cfg.Teams[i%6].Name, Priority: core.Priority(i % 3),
			Tasks: 10 + 30*(i%7), Need: core.Res{CPU: cpu * core.Amount(1+i%2), Mem: 3 * cpu}, Image: fmt.Sprintf("img-%d", i%20), ImageGB: 1, RuntimeS: 25, Spot: true}
		w.Submit(&standin.Job{Spec: s, Info: standin.JobInfo{Need: s.Need, Run: 25 * sec, Tasks: s.Tasks, Image: s.Image}})
	}
	w.Run(60 * sec)
	b.ResetTimer()
	w.Spent, w.Steps, w.Allocs = 0, 0, 0
	for range b.N {
		w.Run(w.Now + sec)
	}
	b.ReportMetric(float64(w.Spent.Milliseconds())/float64(b.N)/float64(nodes), "core-ms/s")
	b.ReportMetric(float64(w.Spent.Microseconds())/float64(w.Steps), "us/step")
	running := 0
	for _, l := range w.Workers {
		running += len(l.Tasks)
	}
	b.ReportMetric(float64(running), "tasks")
	b.StopTimer()
	w.Count, w.Steps, w.Allocs = true, 0, 0
	w.Run(w.Now + sec)
	b.ReportMetric(float64(w.Allocs)/float64(w.Steps), "allocs/step")
	if len(w.Broken) > 0 {
		b.Fatal(w.Broken)
	}
}
