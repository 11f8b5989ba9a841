package controller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/simulation"
)

// slowStoreJobCount is the number of jobs submitted to a slow store.
const slowStoreJobCount = 30

// TestSlowStore checks that a slow store causes no violations, that all jobs are done,
// and that the median submission takes about one round trip rather than several.
func TestSlowStore(t *testing.T) {
	for _, delay := range []cluster.Time{0, 200 * millisecond, 600 * millisecond} {
		slow := time.Duration(delay)
		t.Run(slow.String(), func(t *testing.T) {
			sim := newSimulator(3, testConfig())
			sim.NoRandomFaults = true
			sim.StoreAPI.Delay = delay
			addMachinesPerZone(sim, 2)
			sim.RunUntil(10 * second)
			latencies := measureSubmissionLatencies(sim)
			sim.RunUntil(100 * second)
			if len(*latencies) != slowStoreJobCount || len(sim.Violations) > 0 {
				t.Fatalf("%d responses, violations %v; want a response to each submission and no violation", len(*latencies), sim.Violations)
			}
			slices.Sort(*latencies)
			median, longest := (*latencies)[slowStoreJobCount/2], (*latencies)[slowStoreJobCount-1]
			t.Logf("submissions: median %v, longest %v", median, longest)
			if median > slow+100*time.Millisecond || longest > 4*slow+500*time.Millisecond {
				t.Errorf("submissions too slow: median %v, longest %v", median, longest)
			}
			if unfinished := countJobsNotDone(sim); unfinished > 0 {
				t.Errorf("%d jobs are not done", unfinished)
			}
		})
	}
}

// measureSubmissionLatencies plans a submission each second. It returns a slice to
// which the latency of each submission is appended when it is answered.
func measureSubmissionLatencies(sim *simulation.Simulator) *[]time.Duration {
	var latencies []time.Duration
	const run = 5 * second
	for i := range slowStoreJobCount {
		spec := newJobSpec(cluster.JobID(fmt.Sprintf("j-%06d", i)), testTeams[i%len(testTeams)], 4, run)
		spec.Spot = true
		job := newJob(spec, run)
		sim.Jobs[spec.ID] = job
		sim.After(cluster.Time(i)*second, func() {
			submittedAt := sim.Now
			sim.Nodes[i%len(sim.Nodes)].SendRequest(submitRequest(spec), func(response messages.Respond) {
				latencies = append(latencies, time.Duration(sim.Now-submittedAt))
				if response.Status == messages.StatusCreated {
					job.Accepted = true
					sim.Users.CheckReportedStatus(job, response.View.Status)
				}
			})
		})
	}
	return &latencies
}

// countJobsNotDone queries all jobs at one controller and returns how many it does not
// report as done.
func countJobsNotDone(sim *simulation.Simulator) int {
	count := 0
	for id := range sim.Jobs {
		sim.Nodes[0].SendRequest(queryRequest(id), func(response messages.Respond) {
			if response.View == nil || response.View.Status != cluster.JobDone {
				count++
			}
		})
	}
	sim.RunUntil(105 * second)
	return count
}
