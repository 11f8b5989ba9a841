package e2e

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation"
	"stairrelay/internal/simulation/httpfake"
)

// submitWithDependencies submits a job of one task of a second that depends on others,
// until it is accepted: in the first second after its start a controller may not know
// yet that all the others run a release that understands dependencies.
func (c *processCluster) submitWithDependencies(node int, id, team string, dependencies ...string) {
	c.t.Helper()
	c.services.WithLock(func() {
		c.services.Jobs[cluster.JobID(id)] = simulation.JobInfo{ResourceRequest: cluster.Resources{CPU: 1_000_000, Memory: 1_000_000}, RunDuration: cluster.Time(time.Second), TaskCount: 1, Image: "img"}
	})
	body := addDependencies(httpfake.Submission(id, team, 1), fmt.Sprintf(`["%s"]`, strings.Join(dependencies, `","`)))
	c.waitFor(id+" accepted", func() bool {
		status, _ := c.callUserAPI("POST", node, "/v2/runs", body)
		return status == 200 || status == 201
	})
}

// addDependencies adds the field awaits to a submission.
func addDependencies(submission, list string) string {
	return strings.TrimSuffix(strings.TrimSpace(submission), "}") + `,"awaits":` + list + "}"
}

// startCount tells how often a job's only task was started.
func (c *processCluster) startCount(id string) int {
	n := 0
	c.services.WithLock(func() { n = c.services.StartCounts[cluster.TaskID{Job: cluster.JobID(id), Index: 0}] })
	return n
}

// TestDependencyPipeline: three real processes take a pipeline over three teams, run its
// jobs one after the other, and cancel what needs a cancelled job.
func TestDependencyPipeline(t *testing.T) {
	c := startCluster(t)
	if status := c.submit(0, "j-000051", "red", 1, 3*time.Second); status != 201 {
		t.Fatalf("submitted: %d", status)
	}
	c.submitWithDependencies(1, "j-000052", "green", "j-000051")
	c.submitWithDependencies(2, "j-000053", "blue", "j-000052", "j-000051")
	c.waitFor("first job runs", func() bool { return c.startCount("j-000051") == 1 })
	if second, third := c.startCount("j-000052"), c.startCount("j-000053"); second+third > 0 {
		t.Errorf("started before the first is done: %d and %d times", second, third)
	}
	c.waitFor("pipeline done", func() bool { return c.jobStatus(0, "j-000053") == "done" })
	for _, id := range []string{"j-000051", "j-000052", "j-000053"} {
		if n := c.startCount(id); n != 1 {
			t.Errorf("%s was started %d times", id, n)
		}
	}

	if status := c.submit(1, "j-000061", "red", 1, 60*time.Second); status != 201 {
		t.Fatalf("submitted: %d", status)
	}
	c.submitWithDependencies(2, "j-000062", "green", "j-000061")
	c.submitWithDependencies(0, "j-000063", "blue", "j-000062")
	c.waitFor("first job is cancelled", func() bool {
		status, state := c.callUserAPI("POST", 2, "/v2/runs/j-000061/cancel", "")
		return status == 200 && state == "cancelled"
	})
	for node := range 3 {
		c.waitFor("all that need it are cancelled", func() bool {
			return c.jobStatus(node, "j-000062") == "cancelled" && c.jobStatus(node, "j-000063") == "cancelled"
		})
	}
	if n := c.startCount("j-000062") + c.startCount("j-000063"); n > 0 {
		t.Errorf("jobs after a cancelled one were started %d times", n)
	}

	for list, want := range map[string]int{
		`["j-000064"]`: 400, // its own id
		`"j-000051"`:   400,
		`["j-777777"]`: 422, // never accepted
	} {
		if status, _ := c.callUserAPI("POST", 1, "/v2/runs", addDependencies(httpfake.Submission("j-000064", "red", 1), list)); status != want {
			t.Errorf("awaits %s: %d, want %d", list, status, want)
		}
	}
}
