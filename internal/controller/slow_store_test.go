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

// slowStoreJobCount is how many jobs are submitted to a slow store.
const slowStoreJobCount = 30

// TestSlowStore: a slow state service delays every write whose rate is limited, and
// so answers and starts. Rules are kept, work is done, and a submission waits
// about one round trip, not the sum of many.
func TestSlowStore(t *testing.T) {
	for _, delay := range []cluster.Time{0, 200 * millisecond, 600 * millisecond} {
		slow := time.Duration(delay)
		t.Run(slow.String(), func(t *testing.T) {
			sim := newSimulator(3, testConfig())
			sim.NoRandomFaults = true
			sim.Store.Delay = delay
			addMachinesPerZone(sim, 2)
			sim.RunUntil(10 * second)
			waits := measureSubmissions(sim)
			sim.RunUntil(100 * second)
			if len(*waits) != slowStoreJobCount || len(sim.Violations) > 0 {
				t.Fatalf("%d answers, violations %v", len(*waits), sim.Violations)
			}
			slices.Sort(*waits)
			median, longest := (*waits)[slowStoreJobCount/2], (*waits)[slowStoreJobCount-1]
			t.Logf("submissions: median %v, longest %v", median, longest)
			if median > slow+100*time.Millisecond || longest > 4*slow+500*time.Millisecond {
				t.Errorf("median %v, longest %v", median, longest)
			}
			if unfinished := countJobsNotDone(sim); unfinished > 0 {
				t.Errorf("%d jobs not done", unfinished)
			}
		})
	}
}

// measureSubmissions plans a submission each second; when it is answered, the time
// that took is added to the result.
func measureSubmissions(sim *simulation.Simulator) *[]time.Duration {
	var waits []time.Duration
	const run = 5 * second
	for i := range slowStoreJobCount {
		spec := newJobSpec(cluster.JobID(fmt.Sprintf("j-%06d", i)), testTeams[i%len(testTeams)], 4, run)
		spec.Spot = true
		job := newJob(spec, run)
		sim.Jobs[spec.ID] = job
		sim.After(cluster.Time(i)*second, func() {
			askedAt := sim.Now
			sim.Nodes[i%len(sim.Nodes)].SendRequest(submitRequest(spec), func(answer messages.Respond) {
				waits = append(waits, time.Duration(sim.Now-askedAt))
				if answer.Status == messages.ReplyCreated {
					job.Accepted = true
					sim.Users.CheckReportedStatus(job, answer.View.Status)
				}
			})
		})
	}
	return &waits
}

// countJobsNotDone queries all jobs at one controller.
func countJobsNotDone(sim *simulation.Simulator) int {
	count := 0
	for id := range sim.Jobs {
		sim.Nodes[0].SendRequest(queryRequest(id), func(answer messages.Respond) {
			if answer.View == nil || answer.View.Status != cluster.JobDone {
				count++
			}
		})
	}
	sim.RunUntil(105 * second)
	return count
}
