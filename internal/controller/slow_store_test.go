package controller_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/simulation"
)

// TestSlowStore measures the design's second weak spot: a slow state service
// delays every capped write and so answers and starts. Rules are kept, work is
// done, and a submission waits about one round trip, not the sum of many.
func TestSlowStore(t *testing.T) {
	for _, slow := range []cluster.Time{0, 200 * second / 1000, 600 * second / 1000} {
		sim := newSimulator(3, testConfig())
		sim.NoRandomFaults, sim.Store.Delay = true, slow
		addMachinesPerZone(sim, 2)
		sim.RunUntil(10 * second)
		var waits []time.Duration
		for i := range 30 {
			s := cluster.JobSpec{ID: cluster.JobID(fmt.Sprintf("j-%06d", i)), Class: "c", Team: []string{"red", "green", "blue"}[i%3], Priority: cluster.Normal,
				Tasks: 4, ResourceRequest: cluster.Resources{CPU: cpu, Memory: cpu}, Image: "img", ImageGB: 1, RuntimeSeconds: 5, Spot: true}
			j := &simulation.Job{Spec: s, Info: simulation.JobInfo{ResourceRequest: s.ResourceRequest, RunDuration: 5 * second, TaskCount: s.Tasks, Image: s.Image}}
			sim.Jobs[s.ID] = j
			sim.After(cluster.Time(i)*second, func() {
				at := sim.Now
				sim.Nodes[i%3].SendRequest(func(id messages.RequestID) messages.Event { return messages.Submit{Request: id, Spec: s} }, func(r messages.Respond) {
					waits = append(waits, time.Duration(sim.Now-at))
					if r.Status == 201 {
						j.Accepted = true
						sim.Users.CheckReportedStatus(j, r.View.Status)
					}
				})
			})
		}
		sim.RunUntil(100 * second)
		sort.Slice(waits, func(i, k int) bool { return waits[i] < waits[k] })
		if len(waits) != 30 || len(sim.Violations) > 0 {
			t.Fatalf("slow by %v: %d answers, broken %v", time.Duration(slow), len(waits), sim.Violations)
		}
		p50, top := waits[15], waits[29]
		t.Logf("store slower by %v: submissions p50 %v, longest %v", time.Duration(slow), p50, top)
		if p50 > time.Duration(slow)+100*time.Millisecond || top > 4*time.Duration(slow)+500*time.Millisecond {
			t.Errorf("slow by %v: p50 %v, longest %v", time.Duration(slow), p50, top)
		}
		left := 0
		for id := range sim.Jobs {
			sim.Nodes[0].SendRequest(func(r messages.RequestID) messages.Event { return messages.Query{Request: r, ID: id} }, func(r messages.Respond) {
				if r.View == nil || r.View.Status != cluster.JobDone {
					left++
				}
			})
		}
		sim.RunUntil(105 * second)
		if left > 0 {
			t.Errorf("slow by %v: %d jobs not done", time.Duration(slow), left)
		}
	}
}
