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

// TestUserAPIOnEveryNode: every node takes jobs of every team and knows them all.
func TestUserAPIOnEveryNode(t *testing.T) {
	c := startCluster(t)
	for i, team := range teamNames {
		c.mustSubmit((i+1)%nodeCount, fmt.Sprintf("j-00000%d", i), team, 3, time.Second)
	}
	for node := range nodeCount {
		for i := range teamNames {
			c.waitFor("done everywhere", func() bool { return c.jobStatus(node, fmt.Sprintf("j-00000%d", i)) == "done" })
		}
	}
	for body, want := range map[string]int{
		`{`:                                     http.StatusBadRequest,
		`[]`:                                    http.StatusBadRequest,
		`{"id":"j-5"}`:                          http.StatusBadRequest,
		`{"id":"j-000000"}`:                     http.StatusOK, // known: never 400 again
		httpfake.Submission("j-7", "nobody", 1): http.StatusUnprocessableEntity,
		httpfake.Submission("j-000001", "nobody", 100): http.StatusOK,
		strings.Repeat("x", 70<<10):                    http.StatusBadRequest,
	} {
		if code, _ := c.callUserAPI(http.MethodPost, 0, "/v2/runs", body); code != want {
			t.Errorf("%.40s: %d, want %d", body, code, want)
		}
	}
	if s := c.jobStatus(1, "j-999999"); s != "404" {
		t.Errorf("unknown job: %s", s)
	}
	if code, s := c.callUserAPI(http.MethodPost, 2, "/v2/runs/j-000000/cancel", ""); code != http.StatusOK || s != "done" {
		t.Errorf("cancel after done: %d %s", code, s)
	}
}

// TestNodeKillsAndStoreOutage: controllers die, one and then all, and the state service
// goes away for a while; accepted work is done all the same, once.
func TestNodeKillsAndStoreOutage(t *testing.T) {
	c := startCluster(t)
	for i, team := range teamNames {
		c.mustSubmit(i, fmt.Sprintf("j-00001%d", i), team, 2, 4*time.Second)
	}
	c.mustSubmit(0, "j-000019", "red", 4, 60*time.Second)
	c.waitFor("running", func() bool { return c.jobStatus(1, "j-000019") == "running" })
	c.killNode(0)
	c.waitFor("answered while n0 is down", func() bool { return c.jobStatus(1, "j-000010") != "0" && c.jobStatus(1, "j-000010") != "503" })
	c.startNode(0)
	c.services.WithLock(func() { c.services.StateServiceDown = true })
	time.Sleep(2 * time.Second)
	if code := c.submit(1, "j-000020", "green", 1, time.Second); code != http.StatusServiceUnavailable {
		t.Errorf("submission during the outage: %d", code)
	}
	c.services.WithLock(func() { c.services.StateServiceDown = false })
	for node := range nodeCount {
		c.killNode(node)
	}
	for node := range nodeCount {
		c.startNode(node)
	}
	for i := range teamNames {
		c.waitFor("done after all", func() bool { return c.jobStatus(i, fmt.Sprintf("j-00001%d", i)) == "done" })
	}
	c.waitFor("cancelled", func() bool {
		code, s := c.callUserAPI(http.MethodPost, 2, "/v2/runs/j-000019/cancel", "")
		return code == http.StatusOK && s == "cancelled"
	})
	if s := c.jobStatus(0, "j-000019"); s != "cancelled" {
		t.Errorf("after the cancellation: %s", s)
	}
}

// TestUnreachableMachineReplaced: a machine's heartbeats arrive, but nothing reaches it. Its
// tasks run elsewhere only after they can't run there any more, and it is
// released.
func TestUnreachableMachineReplaced(t *testing.T) {
	c := startCluster(t)
	c.mustSubmit(0, "j-000031", "red", 3, 8*time.Second)
	var unreachable cluster.MachineID
	c.waitFor("running", func() bool {
		if ids := c.services.BusyMachines(); len(ids) > 0 {
			unreachable = ids[0]
		}
		return unreachable != ""
	})
	c.services.WithLock(func() { c.services.UnreachableMachines[unreachable] = true })
	c.waitFor("released", func() bool { return c.services.IsRemoved(unreachable) })
	c.waitFor("done elsewhere", func() bool { return c.jobStatus(1, "j-000031") == "done" })
}

// TestQuickRestartsLoseNoTask: processes that are back at once, one of them twice, lose
// no task and start none again.
func TestQuickRestartsLoseNoTask(t *testing.T) {
	c := startCluster(t)
	for i, team := range teamNames {
		c.mustSubmit(i, fmt.Sprintf("j-00004%d", i), team, 2, 6*time.Second)
	}
	c.waitFor("running", func() bool { return c.jobStatus(0, "j-000040") == "running" && c.jobStatus(0, "j-000041") == "running" })
	for _, node := range []int{0, 1, 2, 0} {
		c.killNode(node)
		c.startNode(node)
	}
	for i := range teamNames {
		id := fmt.Sprintf("j-00004%d", i)
		c.waitFor("done", func() bool { return c.jobStatus(i, id) == "done" })
		c.services.WithLock(func() {
			for k := range 2 {
				if n := c.services.StartCounts[cluster.TaskID{Job: cluster.JobID(id), Index: k}]; n != 1 {
					t.Errorf("%s/%d was started %d times", id, k, n)
				}
			}
		})
	}
}

// TestBadSettingsExit: a settings fault is one line and status 2.
func TestBadSettingsExit(t *testing.T) {
	dir := t.TempDir()
	for _, args := range [][]string{{"--config", filepath.Join(dir, "none.toml")}, {"check-config", filepath.Join(dir, "none.toml")}, {}} {
		out, err := exec.CommandContext(t.Context(), programPath, args...).CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 2 || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%v: %v %q", args, err, out)
		}
	}
}
