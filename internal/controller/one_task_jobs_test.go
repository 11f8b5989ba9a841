package controller_test

import (
	"fmt"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation"
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
			var w *simulation.Simulator
			w = simulation.NewSimulator(seed, cfg, testCloud(func() *simulation.Simulator { return w }))
			w.Network.LateDelivery, w.Network.HeartbeatDuplicateChance, w.Network.SlowPeerChance = true, 0.03, 0.03
			for _, z := range []string{"a", "b", "c"} {
				w.Machines.Add("small", z, false)
				w.Machines.Add("small", z, false)
			}
			cancelled := 0
			for i := range 160 {
				run := w.RandomBetween(second, 8*second)
				s := cluster.JobSpec{ID: cluster.JobID(fmt.Sprintf("j-%06d", i)), Class: "c", Team: cfg.Teams[i%3].Name, Priority: cluster.Priority(w.Rand.IntN(4)),
					Tasks: 1, ResourceRequest: cluster.Resources{CPU: cpu, Memory: cpu}, Image: "img", ImageGB: 1, RuntimeSeconds: float64(run) / 1e9, Spot: true}
				j := &simulation.Job{Spec: s, Info: simulation.JobInfo{ResourceRequest: s.ResourceRequest, RunDuration: run, TaskCount: 1, Image: "img"}}
				at := 10*second + cluster.Time(i)*second/4
				w.After(at, func() { w.Users.Submit(j) })
				if i%4 == 0 {
					j.CancelPlanned = true
					w.After(at+w.RandomBetween(0, 12*second), func() { w.Users.Cancel(j) })
				}
			}
			w.After(12*second, func() { w.ReadAfterWrite.EnableFor(40 * second) })
			w.After(w.RandomBetween(15*second, 25*second), func() { w.Store.LoseWriteReplies(0.1, 10*second, true) })
			w.After(w.RandomBetween(30*second, 45*second), func() {
				if n := w.BusiestNode(); n != nil {
					crash(w, n)
				}
			})
			w.FaultsOverAt = 60 * second
			w.RunUntil(240 * second)
			for _, b := range w.Violations {
				t.Error(b)
			}
			for _, j := range w.Jobs {
				if j.ReportedStatus == cluster.JobCancelled {
					cancelled++
				}
			}
			if n := w.UnfinishedJobCount(); n > 0 && !t.Failed() {
				t.Errorf("%d of %d jobs have no end after %v", n, len(w.Jobs), time.Duration(w.Now))
			}
			if !t.Failed() && (len(w.Jobs) != 160 || cancelled < 10 || w.FaultCounts[simulation.FaultReplyLost] == 0) {
				t.Errorf("%d jobs, %d cancelled, faults %v: the day tests nothing", len(w.Jobs), cancelled, w.FaultCounts)
			}
			t.Logf("%d cancelled, %v", cancelled, w.FaultCounts)
		})
	}
}
