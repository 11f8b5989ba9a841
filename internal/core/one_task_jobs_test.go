package core_test

import (
	"fmt"
	"testing"
	"time"

	"stairrelay/internal/core"
	"stairrelay/internal/standin"
)

// TestManyOneTaskJobs: one-task jobs come four a second for 40 s and a quarter
// of them is cancelled, while the busiest controller ends, answers of the state
// service get lost and users look closely. Each of them has a record, a start
// and an end of its own, which is where a controller falls behind.
func TestManyOneTaskJobs(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			cfg := testConfig()
			var w *standin.World
			w = standin.NewWorld(seed, cfg, testCloud(func() *standin.World { return w }))
			w.Late, w.Copies, w.SlowPeers = true, 0.03, 0.03
			for _, z := range []string{"a", "b", "c"} {
				w.AddMachine("small", z, false)
				w.AddMachine("small", z, false)
			}
			cancelled := 0
			for i := range 160 {
				run := w.Between(sec, 8*sec)
				s := core.JobSpec{ID: core.JobID(fmt.Sprintf("j-%06d", i)), Class: "c", Team: cfg.Teams[i%3].Name, Priority: core.Priority(w.Rand.IntN(4)),
					Tasks: 1, Need: core.Res{CPU: cpu, Mem: cpu}, Image: "img", ImageGB: 1, RuntimeS: float64(run) / 1e9, Spot: true}
				j := &standin.Job{Spec: s, Info: standin.JobInfo{Need: s.Need, Run: run, Tasks: 1, Image: "img"}}
				at := 10*sec + core.Time(i)*sec/4
				w.After(at, func() { w.Submit(j) })
				if i%4 == 0 {
					j.MayCancel = true
					w.After(at+w.Between(0, 12*sec), func() { w.Cancel(j) })
				}
			}
			w.After(12*sec, func() { w.CloseLooks(40 * sec) })
			w.After(w.Between(15*sec, 25*sec), func() { w.LateWrites(0.1, 10*sec, true) })
			w.After(w.Between(30*sec, 45*sec), func() {
				if n := w.Busiest(); n != nil {
					crash(w, n)
				}
			})
			w.Calmed = 60 * sec
			w.Run(240 * sec)
			for _, b := range w.Broken {
				t.Error(b)
			}
			for _, j := range w.Jobs {
				if j.Told == core.StCancelled {
					cancelled++
				}
			}
			if n := w.Unfinished(); n > 0 && !t.Failed() {
				t.Errorf("%d of %d jobs have no end after %v", n, len(w.Jobs), time.Duration(w.Now))
			}
			if !t.Failed() && (len(w.Jobs) != 160 || cancelled < 10 || w.Faults["answers lost though carried out"] == 0) {
				t.Errorf("%d jobs, %d cancelled, faults %v: the day tests nothing", len(w.Jobs), cancelled, w.Faults)
			}
			t.Logf("%d cancelled, %v", cancelled, w.Faults)
		})
	}
}
