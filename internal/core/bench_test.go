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

// BenchmarkGrown measures a simulated second of a fleet of some 1,000 machines
// with several thousand running tasks of 15 s, as the largest deployment has.
// core-ms/s is what one core takes of a second; the rest is the stand-ins'.
func BenchmarkGrown(b *testing.B) {
	for _, n := range []int{3, 5} {
		b.Run(fmt.Sprintf("%d-controllers", n), func(b *testing.B) { benchGrown(b, n) })
	}
}

func benchGrown(b *testing.B, nodes int) {
	cfg := testConfig()
	cfg.Nodes, cfg.Teams = nil, nil
	for i := range nodes {
		cfg.Nodes = append(cfg.Nodes, core.NodeID(fmt.Sprintf("n%d", i)))
	}
	for i := range 5 {
		cfg.Teams = append(cfg.Teams, core.Team{Name: fmt.Sprintf("t%d", i), Guarantee: core.Res{CPU: 600 * cpu}, Limit: core.Res{CPU: 2000 * cpu}})
	}
	cfg.ReportEvery, cfg.Lease = 4*sec, 22*sec
	cfg.StoreRPS, cfg.WriteRPS, cfg.ValueBytes, cfg.TxnOps = 200, 80, 8192, 16
	var w *standin.World
	w = standin.NewWorld(1, cfg, testCloud(func() *standin.World { return w }))
	w.Calm = true
	for i := range 1000 {
		w.AddMachine("small", []string{"a", "b", "c"}[i%3], false)
	}
	w.Run(10 * sec)
	for i := range 120 {
		s := core.JobSpec{ID: core.JobID(fmt.Sprintf("j-%06d", i)), Class: fmt.Sprintf("c%d", i%3), Team: cfg.Teams[i%5].Name, Priority: core.Priority(i % 3),
			Tasks: 2000, Need: core.Res{CPU: cpu, Mem: cpu}, Image: fmt.Sprintf("img-%d", i%6), ImageGB: 1, RuntimeS: 15, Spot: true}
		w.Submit(&standin.Job{Spec: s, Info: standin.JobInfo{Need: s.Need, Run: 15 * sec, Tasks: s.Tasks, Image: s.Image}})
	}
	w.Run(60 * sec)
	b.ReportAllocs()
	b.ResetTimer()
	w.Spent = 0
	for range b.N {
		w.Run(w.Now + sec)
	}
	b.ReportMetric(float64(w.Spent.Milliseconds())/float64(b.N)/float64(nodes), "core-ms/s")
	running := 0
	for _, l := range w.Workers {
		running += len(l.Tasks)
	}
	b.ReportMetric(float64(running), "tasks")
	if len(w.Broken) > 0 {
		b.Fatal(w.Broken)
	}
}
