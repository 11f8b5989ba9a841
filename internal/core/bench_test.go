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
