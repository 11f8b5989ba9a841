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

// submitWithDependencies submits a job with dependencies and one task that runs for a
// second. It retries until the job is accepted, because just after its start a controller
// may not know yet that all its peers run a release with support for dependencies.
func (c *processCluster) submitWithDependencies(node int, id, team string, dependencies ...string) {
	c.t.Helper()
	c.services.WithLock(func() {
		c.services.Jobs[cluster.JobID(id)] = simulation.JobInfo{ResourceRequest: cluster.Resources{CPU: 1_000_000, Memory: 1_000_000}, RunDuration: cluster.Time(time.Second), TaskCount: 1, Image: "img"}
	})
	body := addDependencies(httpfake.Submission(id, team, 1), fmt.Sprintf(`["%s"]`, strings.Join(dependencies, `","`)))
	c.waitFor(id+" is accepted", func() bool {
		status, _ := c.callUserAPI("POST", node, "/v2/runs", body)
		return status == 200 || status == 201
	})
}

// addDependencies adds the field awaits with a JSON list to a submission.
func addDependencies(submission, list string) string {
	return strings.TrimSuffix(strings.TrimSpace(submission), "}") + `,"awaits":` + list + "}"
}

// startCount returns how many times a job's only task was started.
func (c *processCluster) startCount(id string) int {
	n := 0
	c.services.WithLock(func() { n = c.services.StartCounts[cluster.TaskID{Job: cluster.JobID(id), Index: 0}] })
	return n
}

// TestDependencyPipeline checks that a job starts only after its dependencies are done, is
// cancelled with them, and is rejected if its dependencies are invalid.
func TestDependencyPipeline(t *testing.T) {
	c := startCluster(t)
	if status := c.submit(0, "j-000051", "red", 1, 3*time.Second); status != 201 {
		t.Fatalf("submitting j-000051: status %d, want 201", status)
	}
	c.submitWithDependencies(1, "j-000052", "green", "j-000051")
	c.submitWithDependencies(2, "j-000053", "blue", "j-000052", "j-000051")
	c.waitFor("the first job is started", func() bool { return c.startCount("j-000051") == 1 })
	if second, third := c.startCount("j-000052"), c.startCount("j-000053"); second+third > 0 {
		t.Errorf("dependent jobs were started %d and %d times before the first job was done", second, third)
	}
	c.waitFor("the last job is done", func() bool { return c.jobStatus(0, "j-000053") == "done" })
	for _, id := range []string{"j-000051", "j-000052", "j-000053"} {
		if n := c.startCount(id); n != 1 {
			t.Errorf("%s was started %d times, want 1", id, n)
		}
	}

	if status := c.submit(1, "j-000061", "red", 1, 60*time.Second); status != 201 {
		t.Fatalf("submitting j-000061: status %d, want 201", status)
	}
	c.submitWithDependencies(2, "j-000062", "green", "j-000061")
	c.submitWithDependencies(0, "j-000063", "blue", "j-000062")
	c.waitFor("the first job is cancelled", func() bool {
		status, state := c.callUserAPI("POST", 2, "/v2/runs/j-000061/cancel", "")
		return status == 200 && state == "cancelled"
	})
	for node := range 3 {
		c.waitFor("the dependent jobs are cancelled", func() bool {
			return c.jobStatus(node, "j-000062") == "cancelled" && c.jobStatus(node, "j-000063") == "cancelled"
		})
	}
	if n := c.startCount("j-000062") + c.startCount("j-000063"); n > 0 {
		t.Errorf("dependent jobs of a cancelled job were started %d times, want 0", n)
	}

	for list, want := range map[string]int{
		`["j-000064"]`: 400, // the job's own ID
		`"j-000051"`:   400,
		`["j-777777"]`: 422, // never accepted
	} {
		if status, _ := c.callUserAPI("POST", 1, "/v2/runs", addDependencies(httpfake.Submission("j-000064", "red", 1), list)); status != want {
			t.Errorf("awaits %s: status %d, want %d", list, status, want)
		}
	}
}
