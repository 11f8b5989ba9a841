// Package e2e runs the real program, three processes of it, against stand-ins
// on loopback.
package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"stairrelay/internal/core"
	"stairrelay/internal/standin"
)

// program is the path of the program under test, built once for all tests.
var program string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "stairrelay-e2e-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		program = filepath.Join(dir, "stairrelay")
		if out, err := exec.Command("go", "build", "-o", program, "stairrelay/cmd/stairrelay").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}

type cluster struct {
	t      *testing.T
	region *standin.Region
	front  []string
	files  []string
	procs  []*exec.Cmd
	client *http.Client
}

func freePorts(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

func start(t *testing.T) *cluster {
	t.Helper()
	dir := t.TempDir()
	types := []core.MachineType{{Name: "small", Cap: core.Res{CPU: 4_000_000, Mem: 16_000_000}, CacheGB: 10, FetchGBs: 1, Price: 0.2, SpotPrice: 0.1, BootS: 1, Zones: []string{"a"}}}
	r := standin.NewRegion(types, map[string]int{standin.Slot("small", "a", true): 3}, 500*time.Millisecond, 6*time.Second)
	t.Cleanup(r.Close)
	state, err := r.ServeState()
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, region: r, front: freePorts(t, 3), client: &http.Client{Timeout: 5 * time.Second}}
	back := freePorts(t, 3)
	for i := range 3 {
		r.Nodes[fmt.Sprintf("n%d", i)] = c.front[i]
	}
	cloud, err := r.ServeCloud()
	if err != nil {
		t.Fatal(err)
	}
	r.Add("small", "a", false)
	r.Add("small", "a", false)
	for i := range 3 {
		var b strings.Builder
		fmt.Fprintf(&b, "host_name = \"n%d\"\ndomain = \"a\"\nlisten = %q\nback = %q\n", i, c.front[i], back[i])
		for j := range 3 {
			if j != i {
				fmt.Fprintf(&b, "[[peers]]\nhost_name = \"n%d\"\nendpoint = %q\n", j, back[j])
			}
		}
		fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n[cluster]\ncount = 3\n", cloud, state)
		for _, team := range []string{"red", "green", "blue"} {
			fmt.Fprintf(&b, "[[cluster.teams]]\nname = %q\ncpus = 2.0\ncpus_max = 6.0\n", team)
		}
		b.WriteString("[cluster.workers]\nreport_s = 0.5\nlease_s = 6.0\ncancel_s = 20.0\n[cluster.state]\nrps = 400.0\nwrite_rps = 200.0\nvalue_kb = 4.0\ntxn_ops = 12\n[cluster.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n")
		f := filepath.Join(dir, fmt.Sprintf("n%d.toml", i))
		if err := os.WriteFile(f, []byte(b.String()), 0o600); err != nil {
			t.Fatal(err)
		}
		c.files = append(c.files, f)
		c.procs = append(c.procs, nil)
		c.run(i)
	}
	t.Cleanup(func() {
		for i := range c.procs {
			c.kill(i)
		}
		if len(r.Twice) > 0 {
			t.Errorf("ran twice: %v", r.Twice)
		}
	})
	return c
}

func (c *cluster) run(i int) {
	cmd := exec.Command(program, "--config", c.files[i])
	log := &bytes.Buffer{}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.procs[i] = cmd
	c.t.Cleanup(func() {
		if c.t.Failed() {
			c.t.Logf("n%d:\n%s", i, log.String())
		}
	})
	c.wait(fmt.Sprintf("n%d healthy", i), func() bool {
		r, err := c.client.Get("http://" + c.front[i] + "/healthz")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == 200
	})
}

func (c *cluster) kill(i int) {
	if p := c.procs[i]; p != nil {
		_ = p.Process.Kill()
		_ = p.Wait()
		c.procs[i] = nil
	}
}

func (c *cluster) wait(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.t.Fatalf("waited in vain: %s", what)
}

func (c *cluster) submit(i int, id, team string, tasks int, run time.Duration) int {
	c.t.Helper()
	c.region.Locked(func() {
		c.region.Jobs[core.JobID(id)] = standin.JobInfo{Need: core.Res{CPU: 1_000_000, Mem: 1_000_000}, Run: core.Time(run), Tasks: tasks, Image: "img"}
	})
	code, _ := c.call("POST", i, "/v2/runs", standin.Submission(id, team, tasks))
	return code
}

func (c *cluster) call(method string, i int, path, body string) (int, string) {
	c.t.Helper()
	req, err := http.NewRequest(method, "http://"+c.front[i]+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	r, err := c.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer r.Body.Close()
	var v struct {
		Status string `json:"status"`
	}
	_ = json.NewDecoder(r.Body).Decode(&v)
	return r.StatusCode, v.Status
}

func (c *cluster) status(i int, id string) string {
	code, s := c.call("GET", i, "/v2/runs/"+id, "")
	if code != 200 {
		return fmt.Sprint(code)
	}
	return s
}

// TestUsersInterface: every node takes jobs of every team and knows them all.
func TestUsersInterface(t *testing.T) {
	c := start(t)
	for i, team := range []string{"red", "green", "blue"} {
		if code := c.submit((i+1)%3, fmt.Sprintf("j-00000%d", i), team, 3, time.Second); code != 201 {
			t.Fatalf("submitted to n%d: %d", (i+1)%3, code)
		}
	}
	for node := range 3 {
		for i := range 3 {
			c.wait("done everywhere", func() bool { return c.status(node, fmt.Sprintf("j-00000%d", i)) == "done" })
		}
	}
	for body, want := range map[string]int{
		`{`: 400, `[]`: 400, `{"id":"j-5"}`: 400,
		`{"id":"j-000000"}`:                           200, // known: never 400 again
		standin.Submission("j-7", "nobody", 1):        422,
		standin.Submission("j-000001", "nobody", 100): 200,
		strings.Repeat("x", 70<<10):                   400,
	} {
		if code, _ := c.call("POST", 0, "/v2/runs", body); code != want {
			t.Errorf("%.40s: %d, want %d", body, code, want)
		}
	}
	if s := c.status(1, "j-999999"); s != "404" {
		t.Errorf("unknown job: %s", s)
	}
	if code, s := c.call("POST", 2, "/v2/runs/j-000000/cancel", ""); code != 200 || s != "done" {
		t.Errorf("cancel after done: %d %s", code, s)
	}
}

// TestKillsAndOutage: controllers die, one and then all, and the state service
// goes away for a while; accepted work is done all the same, once.
func TestKillsAndOutage(t *testing.T) {
	c := start(t)
	for i, team := range []string{"red", "green", "blue"} {
		if code := c.submit(i, fmt.Sprintf("j-00001%d", i), team, 2, 4*time.Second); code != 201 {
			t.Fatalf("submitted: %d", code)
		}
	}
	if code := c.submit(0, "j-000019", "red", 4, 60*time.Second); code != 201 {
		t.Fatalf("submitted: %d", code)
	}
	c.wait("running", func() bool { return c.status(1, "j-000019") == "running" })
	c.kill(0)
	c.wait("asked while n0 is down", func() bool { return c.status(1, "j-000010") != "0" && c.status(1, "j-000010") != "503" })
	c.run(0)
	c.region.Locked(func() { c.region.Down = true })
	time.Sleep(2 * time.Second)
	if code := c.submit(1, "j-000020", "green", 1, time.Second); code != 503 {
		t.Errorf("submission during the outage: %d", code)
	}
	c.region.Locked(func() { c.region.Down = false })
	for i := range 3 {
		c.kill(i)
	}
	for i := range 3 {
		c.run(i)
	}
	for i := range 3 {
		c.wait("done after all", func() bool { return c.status(i, fmt.Sprintf("j-00001%d", i)) == "done" })
	}
	c.wait("cancelled", func() bool {
		code, s := c.call("POST", 2, "/v2/runs/j-000019/cancel", "")
		return code == 200 && s == "cancelled"
	})
	if s := c.status(0, "j-000019"); s != "cancelled" {
		t.Errorf("after the cancellation: %s", s)
	}
}

// TestOneWayMachine: a machine's reports arrive, but nothing reaches it. Its
// tasks run elsewhere only after they can't run there any more, and it is
// returned.
func TestOneWayMachine(t *testing.T) {
	c := start(t)
	if code := c.submit(0, "j-000031", "red", 3, 8*time.Second); code != 201 {
		t.Fatalf("submitted: %d", code)
	}
	var deaf core.MachineID
	c.wait("running", func() bool {
		if ids := c.region.Running(); len(ids) > 0 {
			deaf = ids[0]
		}
		return deaf != ""
	})
	c.region.Locked(func() { c.region.Deaf[deaf] = true })
	c.wait("returned", func() bool { return c.region.Gone(deaf) })
	c.wait("done elsewhere", func() bool { return c.status(1, "j-000031") == "done" })
}

// TestQuickRestarts: processes that are back at once, one of them twice, lose
// no task and start none again.
func TestQuickRestarts(t *testing.T) {
	c := start(t)
	for i, team := range []string{"red", "green", "blue"} {
		if code := c.submit(i, fmt.Sprintf("j-00004%d", i), team, 2, 6*time.Second); code != 201 {
			t.Fatalf("submitted: %d", code)
		}
	}
	c.wait("running", func() bool { return c.status(0, "j-000040") == "running" && c.status(0, "j-000041") == "running" })
	for _, i := range []int{0, 1, 2, 0} {
		c.kill(i)
		c.run(i)
	}
	for i := range 3 {
		id := fmt.Sprintf("j-00004%d", i)
		c.wait("done", func() bool { return c.status(i, id) == "done" })
		c.region.Locked(func() {
			for k := range 2 {
				if n := c.region.Starts[core.TaskID{Job: core.JobID(id), Index: k}]; n != 1 {
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
		out, err := exec.Command(program, args...).CombinedOutput()
		var exit *exec.ExitError
		if e, ok := err.(*exec.ExitError); ok {
			exit = e
		}
		if exit == nil || exit.ExitCode() != 2 || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%v: %v %q", args, err, out)
		}
	}
}
