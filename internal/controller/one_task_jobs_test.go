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
			sim := newSimulator(seed, cfg)
			enableRandomMessageFaults(sim)
			addMachinesPerZone(sim, 2)
			cancelled := 0
			for i := range 160 {
				run := sim.RandomBetween(second, 8*second)
				spec := newJobSpec(cluster.JobID(fmt.Sprintf("j-%06d", i)), cfg.Teams[i%3].Name, 1, run)
				spec.Priority = cluster.Priority(sim.Rand.IntN(4))
				spec.Spot = true
				job := newJob(spec, run)
				at := 10*second + cluster.Time(i)*second/4
				sim.After(at, func() { sim.Users.Submit(job) })
				if i%4 == 0 {
					job.CancelPlanned = true
					sim.After(at+sim.RandomBetween(0, 12*second), func() { sim.Users.Cancel(job) })
				}
			}
			sim.After(12*second, func() { sim.ReadAfterWrite.EnableFor(40 * second) })
			sim.After(sim.RandomBetween(15*second, 25*second), func() { sim.Store.LoseWriteReplies(0.1, 10*second, true) })
			sim.After(sim.RandomBetween(30*second, 45*second), func() {
				crashBusiest(sim)
			})
			sim.FaultsOverAt = 60 * second
			sim.RunUntil(240 * second)
			for _, b := range sim.Violations {
				t.Error(b)
			}
			for _, j := range sim.Jobs {
				if j.ReportedStatus == cluster.JobCancelled {
					cancelled++
				}
			}
			if n := sim.UnfinishedJobCount(); n > 0 && !t.Failed() {
				t.Errorf("%d of %d jobs have no end after %v", n, len(sim.Jobs), time.Duration(sim.Now))
			}
			if !t.Failed() && (len(sim.Jobs) != 160 || cancelled < 10 || sim.FaultCounts[simulation.FaultReplyLost] == 0) {
				t.Errorf("%d jobs, %d cancelled, faults %v: the day tests nothing", len(sim.Jobs), cancelled, sim.FaultCounts)
			}
			t.Logf("%d cancelled, %v", cancelled, sim.FaultCounts)
		})
	}
}
