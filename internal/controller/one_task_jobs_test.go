package controller_test

import (
	"fmt"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation"
)

const (
	oneTaskJobCount    = 160
	oneTaskJobInterval = second / 4
	// minCancelledJobs is the minimum number of cancelled jobs in a conclusive run.
	minCancelledJobs = 10
)

// TestManyOneTaskJobs checks that many one-task jobs, some of them cancelled, end without
// violations although the busiest controller crashes and replies of the store are lost.
func TestManyOneTaskJobs(t *testing.T) {
	forEachSeed(t, 1, 4, func(t *testing.T, seed uint64) {
		t.Helper()
		cfg := testConfig()
		sim := newSimulator(seed, cfg)
		enableRandomMessageFaults(sim)
		addMachinesPerZone(sim, 2)
		planOneTaskJobs(sim, cfg.Teams)
		sim.After(12*second, func() { sim.ReadAfterWrite.EnableFor(40 * second) })
		sim.After(sim.RandomBetween(15*second, 25*second), func() { sim.StoreAPI.LoseWriteReplies(0.1, 10*second, true) })
		sim.After(sim.RandomBetween(30*second, 45*second), func() { crashBusiest(sim) })
		sim.FaultsOverAt = 60 * second
		sim.RunUntil(240 * second)
		checkOneTaskJobs(t, sim)
	})
}

// planOneTaskJobs plans the submissions and the cancellation of every fourth job.
func planOneTaskJobs(sim *simulation.Simulator, teams []cluster.Team) {
	for i := range oneTaskJobCount {
		run := sim.RandomBetween(second, 8*second)
		spec := newJobSpec(cluster.JobID(fmt.Sprintf("j-%06d", i)), teams[i%len(teams)].Name, 1, run)
		spec.Priority = cluster.Priority(sim.Rand.IntN(4))
		spec.Spot = true
		job := newJob(spec, run)
		at := 10*second + cluster.Time(i)*oneTaskJobInterval
		sim.After(at, func() { sim.Users.Submit(job) })
		if i%4 == 0 {
			job.CancelPlanned = true
			sim.After(at+sim.RandomBetween(0, 12*second), func() { sim.Users.Cancel(job) })
		}
	}
}

// checkOneTaskJobs checks that there were no violations and that all jobs have ended.
func checkOneTaskJobs(t *testing.T, sim *simulation.Simulator) {
	t.Helper()
	for _, violation := range sim.Violations {
		t.Error(violation)
	}
	cancelled := 0
	for _, job := range sim.Jobs {
		if job.ReportedStatus == cluster.JobCancelled {
			cancelled++
		}
	}
	if unfinished := sim.UnfinishedJobCount(); unfinished > 0 && !t.Failed() {
		t.Errorf("%d of %d jobs are unfinished after %v", unfinished, len(sim.Jobs), time.Duration(sim.Now))
	}
	if !t.Failed() && (len(sim.Jobs) != oneTaskJobCount || cancelled < minCancelledJobs || sim.FaultCounts[simulation.FaultReplyLost] == 0) {
		t.Errorf("%d jobs, %d cancelled, faults %v: the run is inconclusive", len(sim.Jobs), cancelled, sim.FaultCounts)
	}
	t.Logf("%d cancelled, %v", cancelled, sim.FaultCounts)
}
