package e2e

import (
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation/httpfake"
)

// TestUserAPIOnEveryNode checks that a controller accepts jobs of any team, that every
// controller returns the status of every job, and the status codes of invalid requests.
func TestUserAPIOnEveryNode(t *testing.T) {
	c := startCluster(t)
	for i, team := range teamNames {
		c.mustSubmit((i+1)%nodeCount, fmt.Sprintf("j-00000%d", i), team, 3, time.Second)
	}
	for node := range nodeCount {
		for i := range teamNames {
			c.waitFor("every controller returns the status done", func() bool { return c.jobStatus(node, fmt.Sprintf("j-00000%d", i)) == "done" })
		}
	}
	for body, want := range map[string]int{
		`{`:                                     http.StatusBadRequest,
		`[]`:                                    http.StatusBadRequest,
		`{"id":"j-5"}`:                          http.StatusBadRequest,
		`{"id":"j-000000"}`:                     http.StatusOK, // a repeated submission is not validated
		httpfake.Submission("j-7", "nobody", 1): http.StatusUnprocessableEntity,
		httpfake.Submission("j-000001", "nobody", 100): http.StatusOK,
		strings.Repeat("x", 70<<10):                    http.StatusBadRequest,
	} {
		if code, _ := c.callUserAPI(http.MethodPost, 0, "/v2/runs", body); code != want {
			t.Errorf("%.40s: status %d, want %d", body, code, want)
		}
	}
	if s := c.jobStatus(1, "j-999999"); s != "404" {
		t.Errorf("unknown job: %s, want 404", s)
	}
	if code, s := c.callUserAPI(http.MethodPost, 2, "/v2/runs/j-000000/cancel", ""); code != http.StatusOK || s != "done" {
		t.Errorf("cancelling a job that is done: status %d, job %s, want 200 and done", code, s)
	}
}

// TestNodeKillsAndStoreOutage checks that accepted jobs are done, or cancelled on request,
// although controllers are killed and the store has an outage.
func TestNodeKillsAndStoreOutage(t *testing.T) {
	c := startCluster(t)
	for i, team := range teamNames {
		c.mustSubmit(i, fmt.Sprintf("j-00001%d", i), team, 2, 4*time.Second)
	}
	c.mustSubmit(0, "j-000019", "red", 4, 60*time.Second)
	c.waitFor("j-000019 is running", func() bool { return c.jobStatus(1, "j-000019") == "running" })
	c.killNode(0)
	c.waitFor("n1 returns the job's status while n0 is down", func() bool { return c.jobStatus(1, "j-000010") != "0" && c.jobStatus(1, "j-000010") != "503" })
	c.startNode(0)
	c.services.WithLock(func() { c.services.StoreDown = true })
	time.Sleep(2 * time.Second)
	if code := c.submit(1, "j-000020", "green", 1, time.Second); code != http.StatusServiceUnavailable {
		t.Errorf("submission during the outage: status %d, want 503", code)
	}
	c.services.WithLock(func() { c.services.StoreDown = false })
	for node := range nodeCount {
		c.killNode(node)
	}
	for node := range nodeCount {
		c.startNode(node)
	}
	for i := range teamNames {
		c.waitFor("the job is done after the restart", func() bool { return c.jobStatus(i, fmt.Sprintf("j-00001%d", i)) == "done" })
	}
	c.waitFor("j-000019 is cancelled", func() bool {
		code, s := c.callUserAPI(http.MethodPost, 2, "/v2/runs/j-000019/cancel", "")
		return code == http.StatusOK && s == "cancelled"
	})
	if s := c.jobStatus(0, "j-000019"); s != "cancelled" {
		t.Errorf("after the cancellation: %s, want cancelled", s)
	}
}

// TestUnreachableMachineReplaced checks that a machine which sends heartbeats but receives
// nothing is removed, and that its tasks don't run elsewhere while they still run on it.
func TestUnreachableMachineReplaced(t *testing.T) {
	c := startCluster(t)
	c.mustSubmit(0, "j-000031", "red", 3, 8*time.Second)
	var unreachable cluster.MachineID
	c.waitFor("a machine runs a task", func() bool {
		if ids := c.services.BusyMachines(); len(ids) > 0 {
			unreachable = ids[0]
		}
		return unreachable != ""
	})
	c.services.WithLock(func() { c.services.UnreachableMachines[unreachable] = true })
	c.waitFor("the unreachable machine is removed", func() bool { return c.services.IsRemoved(unreachable) })
	c.waitFor("the job is done on other machines", func() bool { return c.jobStatus(1, "j-000031") == "done" })
}

// TestQuickRestartsLoseNoTask checks that a controller that restarts immediately neither
// loses a task nor starts one a second time.
func TestQuickRestartsLoseNoTask(t *testing.T) {
	c := startCluster(t)
	for i, team := range teamNames {
		c.mustSubmit(i, fmt.Sprintf("j-00004%d", i), team, 2, 6*time.Second)
	}
	c.waitFor("j-000040 and j-000041 are running", func() bool { return c.jobStatus(0, "j-000040") == "running" && c.jobStatus(0, "j-000041") == "running" })
	for _, node := range []int{0, 1, 2, 0} {
		c.killNode(node)
		c.startNode(node)
	}
	for i := range teamNames {
		id := fmt.Sprintf("j-00004%d", i)
		c.waitFor("the job is done after the restarts", func() bool { return c.jobStatus(i, id) == "done" })
		c.services.WithLock(func() {
			for k := range 2 {
				if n := c.services.StartCounts[cluster.TaskID{Job: cluster.JobID(id), Index: k}]; n != 1 {
					t.Errorf("%s/%d was started %d times, want 1", id, k, n)
				}
			}
		})
	}
}

// TestBadSettingsExit checks that missing settings are reported in one line and that the
// exit status is 2.
func TestBadSettingsExit(t *testing.T) {
	dir := t.TempDir()
	for _, args := range [][]string{{"--config", filepath.Join(dir, "none.toml")}, {"check-config", filepath.Join(dir, "none.toml")}, {}} {
		out, err := exec.CommandContext(t.Context(), programPath, args...).CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 2 || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%v: error %v, output %q, want exit status 2 and one line", args, err, out)
		}
	}
}
