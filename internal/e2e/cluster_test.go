// Package e2e runs the real program, three processes of it, against fake services
// on loopback.
package e2e

import (
	"bytes"
	"context"
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

	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation"
	"stairrelay/internal/simulation/httpfake"
)

const (
	// nodeCount is the number of controllers.
	nodeCount = 3
	// heartbeatInterval and lease are those of the settings below.
	heartbeatInterval = 500 * time.Millisecond
	leaseDuration     = 6 * time.Second
	// callTimeout bounds a user's call.
	callTimeout = 5 * time.Second
	// waitTimeout bounds how long a test waits for anything.
	waitTimeout      = 25 * time.Second
	waitPollInterval = 50 * time.Millisecond
)

// sharedSettings is the part of the settings that all controllers share,
// after the addresses of the cloud and the state service.
const sharedSettings = `[external]
cloud = %q
state = %q
[cluster]
count = 3
[[cluster.teams]]
name = "red"
cpus = 2.0
cpus_max = 6.0
[[cluster.teams]]
name = "green"
cpus = 2.0
cpus_max = 6.0
[[cluster.teams]]
name = "blue"
cpus = 2.0
cpus_max = 6.0
[cluster.workers]
report_s = 0.5
lease_s = 6.0
cancel_s = 20.0
[cluster.state]
rps = 400.0
write_rps = 200.0
value_kb = 4.0
txn_ops = 12
[cluster.cloud]
rps = 20.0
list_lag_s = 1.0
`

// teamNames are those of the settings.
var teamNames = []string{"red", "green", "blue"}

// smallMachineType is the one machine type of the cloud.
var smallMachineType = cluster.MachineType{
	Name:             "small",
	Capacity:         cluster.Resources{CPU: 4_000_000, Memory: 16_000_000},
	CacheGB:          10,
	FetchGBPerSecond: 1,
	OnDemandPrice:    0.2,
	SpotPrice:        0.1,
	BootSeconds:      1,
	Zones:            []string{"a"},
}

// programPath is the path of the program under test, built once for all tests.
var programPath string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "stairrelay-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programPath = filepath.Join(dir, "stairrelay")
	build := exec.CommandContext(context.Background(), "go", "build", "-o", programPath, "stairrelay/cmd/stairrelay")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// processCluster is a set of fake services with the processes of the controllers.
type processCluster struct {
	t              *testing.T
	services       *httpfake.Services
	frontAddresses []string // the controllers' addresses for users and workers
	peerAddresses  []string // and those for one another
	settingsPaths  []string // the paths of their settings
	processes      []*exec.Cmd
	logs           []processLog // of all processes that were started
	client         *http.Client
}

type processLog struct {
	node string
	text *bytes.Buffer
}

// startCluster starts fake services and the controllers; they end with the test.
func startCluster(t *testing.T) *processCluster {
	t.Helper()
	c := &processCluster{
		t:              t,
		services:       newFakeServices(t),
		frontAddresses: freeAddresses(t, nodeCount),
		peerAddresses:  freeAddresses(t, nodeCount),
		processes:      make([]*exec.Cmd, nodeCount),
		client:         &http.Client{Timeout: callTimeout},
	}
	for i := range nodeCount {
		c.services.NodeAddresses[nodeName(i)] = c.frontAddresses[i]
	}
	c.writeSettings()
	t.Cleanup(c.stopAll)
	for i := range nodeCount {
		c.startNode(i)
	}
	return c
}

func newFakeServices(t *testing.T) *httpfake.Services {
	t.Helper()
	capacity := map[string]int{simulation.CapacityKey(smallMachineType.Name, "a", true): 3}
	services := httpfake.NewServices([]cluster.MachineType{smallMachineType}, capacity, heartbeatInterval, leaseDuration)
	t.Cleanup(services.Close)
	services.AddMachine(smallMachineType.Name, "a", false)
	services.AddMachine(smallMachineType.Name, "a", false)
	return services
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// freeAddresses finds addresses on loopback that nothing listens on.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// writeSettings starts the state service and the cloud, and writes the
// settings of all controllers.
func (c *processCluster) writeSettings() {
	c.t.Helper()
	state, err := c.services.ServeState()
	if err != nil {
		c.t.Fatal(err)
	}
	cloud, err := c.services.ServeCloud()
	if err != nil {
		c.t.Fatal(err)
	}
	dir := c.t.TempDir()
	for i := range nodeCount {
		path := filepath.Join(dir, nodeName(i)+".toml")
		text := c.nodeSettings(i) + fmt.Sprintf(sharedSettings, cloud, state)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			c.t.Fatal(err)
		}
		c.settingsPaths = append(c.settingsPaths, path)
	}
}

// nodeSettings is the part of the settings that is a controller's own.
func (c *processCluster) nodeSettings(node int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "host_name = %q\n", nodeName(node))
	fmt.Fprintf(&text, "domain = \"a\"\n")
	fmt.Fprintf(&text, "listen = %q\n", c.frontAddresses[node])
	fmt.Fprintf(&text, "back = %q\n", c.peerAddresses[node])
	for peer := range nodeCount {
		if peer != node {
			fmt.Fprintf(&text, "[[peers]]\nhost_name = %q\nendpoint = %q\n", nodeName(peer), c.peerAddresses[peer])
		}
	}
	return text.String()
}

// startNode starts a controller and waits until it is healthy.
func (c *processCluster) startNode(node int) {
	c.t.Helper()
	log := &bytes.Buffer{}
	process := exec.CommandContext(c.t.Context(), programPath, "--config", c.settingsPaths[node])
	process.Stderr = log
	if err := process.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.processes[node] = process
	c.logs = append(c.logs, processLog{node: nodeName(node), text: log})
	c.waitFor(nodeName(node)+" healthy", func() bool { return c.isHealthy(node) })
}

func (c *processCluster) isHealthy(node int) bool {
	c.t.Helper()
	request, err := http.NewRequestWithContext(c.t.Context(), http.MethodGet, "http://"+c.frontAddresses[node]+"/healthz", nil)
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// killNode ends a controller's process at once, if it runs.
func (c *processCluster) killNode(node int) {
	process := c.processes[node]
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	_ = process.Wait()
	c.processes[node] = nil
}

// stopAll ends all controllers and checks that no task ran twice at once. Only
// then are the logs whole; a failed test shows them.
func (c *processCluster) stopAll() {
	for node := range nodeCount {
		c.killNode(node)
	}
	c.services.WithLock(func() {
		if len(c.services.DuplicateRuns) > 0 {
			c.t.Errorf("ran twice: %v", c.services.DuplicateRuns)
		}
	})
	if !c.t.Failed() {
		return
	}
	for _, log := range c.logs {
		c.t.Logf("%s:\n%s", log.node, log.text.String())
	}
}

// waitFor fails the test unless a condition holds in time.
func (c *processCluster) waitFor(what string, holds func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		if holds() {
			return
		}
		time.Sleep(waitPollInterval)
	}
	c.t.Fatalf("waited in vain: %s", what)
}

// submit submits a job to a controller and returns the answer's status.
func (c *processCluster) submit(node int, id, team string, tasks int, run time.Duration) int {
	c.t.Helper()
	info := simulation.JobInfo{
		ResourceRequest: cluster.Resources{CPU: 1_000_000, Memory: 1_000_000},
		RunDuration:     cluster.Time(run),
		TaskCount:       tasks,
		Image:           "img",
	}
	c.services.WithLock(func() { c.services.Jobs[cluster.JobID(id)] = info })
	code, _ := c.callUserAPI(http.MethodPost, node, "/v2/runs", httpfake.Submission(id, team, tasks))
	return code
}

// mustSubmit submits a job that has to be accepted.
func (c *processCluster) mustSubmit(node int, id, team string, tasks int, run time.Duration) {
	c.t.Helper()
	if code := c.submit(node, id, team, tasks, run); code != http.StatusCreated {
		c.t.Fatalf("%s submitted to %s: %d", id, nodeName(node), code)
	}
}

// callUserAPI makes a user's call and returns the answer's status and the job's state;
// status 0: there was no answer.
func (c *processCluster) callUserAPI(method string, node int, path, body string) (int, string) {
	c.t.Helper()
	request, err := http.NewRequestWithContext(c.t.Context(), method, "http://"+c.frontAddresses[node]+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	var view struct {
		Status string `json:"status"`
	}
	_ = json.NewDecoder(response.Body).Decode(&view)
	return response.StatusCode, view.Status
}

// jobStatus is a job's state, or the answer's status if it is not 200.
func (c *processCluster) jobStatus(node int, id string) string {
	code, status := c.callUserAPI(http.MethodGet, node, "/v2/runs/"+id, "")
	if code != http.StatusOK {
		return fmt.Sprint(code)
	}
	return status
}
