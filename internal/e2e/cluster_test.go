// Package e2e tests a cluster of three controller processes against fake services on
// the loopback interface.
package e2e

import (
	"bytes"
	"context"
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
	"stairrelay/internal/exactjson"
	"stairrelay/internal/simulation"
	"stairrelay/internal/simulation/httpfake"
)

const (
	// nodeCount is the number of controllers.
	nodeCount = 3
	// heartbeatInterval and leaseDuration must equal report_s and lease_s in
	// sharedSettings.
	heartbeatInterval = 500 * time.Millisecond
	leaseDuration     = 6 * time.Second
	// callTimeout is the timeout of a call to the users' API.
	callTimeout = 5 * time.Second
	// waitTimeout is the timeout of waitFor.
	waitTimeout      = 25 * time.Second
	waitPollInterval = 50 * time.Millisecond
)

// sharedSettings is the format of the settings that all controllers share. Its
// arguments are the addresses of the cloud and the store.
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

// teamNames holds the names of the teams in sharedSettings.
var teamNames = []string{"red", "green", "blue"}

// smallMachineType is the only machine type of the fake cloud.
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

// programPath is the path of the program under test, which TestMain builds.
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

// processCluster consists of fake services and the processes of the controllers.
type processCluster struct {
	t               *testing.T
	services        *httpfake.Services
	publicAddresses []string     // where each controller serves users and workers
	peerAddresses   []string     // where each controller serves its peers
	settingsPaths   []string     // settings file of each controller
	processes       []*exec.Cmd  // nil for a controller that is not running
	logs            []processLog // one for each process ever started
	client          *http.Client
}

type processLog struct {
	node string
	text *bytes.Buffer
}

// startCluster starts the fake services and the controllers. The test's cleanup stops
// them.
func startCluster(t *testing.T) *processCluster {
	t.Helper()
	c := &processCluster{
		t:               t,
		services:        newFakeServices(t),
		publicAddresses: freeAddresses(t, nodeCount),
		peerAddresses:   freeAddresses(t, nodeCount),
		processes:       make([]*exec.Cmd, nodeCount),
		client:          &http.Client{Timeout: callTimeout},
	}
	for i := range nodeCount {
		c.services.NodeAddresses[nodeName(i)] = c.publicAddresses[i]
	}
	c.startServicesAndWriteSettings()
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

// freeAddresses returns n loopback addresses with unused ports.
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

// startServicesAndWriteSettings starts the store and the cloud and writes the settings
// files of all controllers.
func (c *processCluster) startServicesAndWriteSettings() {
	c.t.Helper()
	store, err := c.services.ServeStore()
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
		text := c.nodeSettings(i) + fmt.Sprintf(sharedSettings, cloud, store)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			c.t.Fatal(err)
		}
		c.settingsPaths = append(c.settingsPaths, path)
	}
}

// nodeSettings returns the settings that are specific to a controller.
func (c *processCluster) nodeSettings(node int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "host_name = %q\n", nodeName(node))
	fmt.Fprintf(&text, "domain = \"a\"\n")
	fmt.Fprintf(&text, "listen = %q\n", c.publicAddresses[node])
	fmt.Fprintf(&text, "back = %q\n", c.peerAddresses[node])
	for peer := range nodeCount {
		if peer != node {
			fmt.Fprintf(&text, "[[peers]]\nhost_name = %q\nendpoint = %q\n", nodeName(peer), c.peerAddresses[peer])
		}
	}
	return text.String()
}

// startNode starts a controller and waits until its health check succeeds.
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
	c.waitFor(nodeName(node)+" is healthy", func() bool { return c.isHealthy(node) })
}

func (c *processCluster) isHealthy(node int) bool {
	c.t.Helper()
	request, err := http.NewRequestWithContext(c.t.Context(), http.MethodGet, "http://"+c.publicAddresses[node]+"/healthz", nil)
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

// killNode kills a controller's process, if it is running.
func (c *processCluster) killNode(node int) {
	process := c.processes[node]
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	_ = process.Wait()
	c.processes[node] = nil
}

// stopAll kills all controllers and checks that no task ran on two machines at the same
// time. If the test has failed, it prints the logs, which are complete only now.
func (c *processCluster) stopAll() {
	for node := range nodeCount {
		c.killNode(node)
	}
	c.services.WithLock(func() {
		if len(c.services.DuplicateRuns) > 0 {
			c.t.Errorf("tasks ran on two machines at the same time: %v", c.services.DuplicateRuns)
		}
	})
	if !c.t.Failed() {
		return
	}
	for _, log := range c.logs {
		c.t.Logf("%s:\n%s", log.node, log.text.String())
	}
}

// waitFor waits until a condition holds. It fails the test after waitTimeout.
func (c *processCluster) waitFor(description string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		if condition() {
			return
		}
		time.Sleep(waitPollInterval)
	}
	c.t.Fatalf("timed out waiting for condition: %s", description)
}

// submit submits a job to a controller, registers it with the fake workers and returns
// the HTTP status code, or 0 if there was no response.
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

// mustSubmit submits a job and fails the test unless the job is accepted.
func (c *processCluster) mustSubmit(node int, id, team string, tasks int, run time.Duration) {
	c.t.Helper()
	if code := c.submit(node, id, team, tasks, run); code != http.StatusCreated {
		c.t.Fatalf("submitting %s to %s: status %d, want 201", id, nodeName(node), code)
	}
}

// callUserAPI calls the users' API of a controller. It returns the HTTP status code, or
// 0 if there was no response, and the job's status in the response, if any.
func (c *processCluster) callUserAPI(method string, node int, path, body string) (int, string) {
	c.t.Helper()
	request, err := http.NewRequestWithContext(c.t.Context(), method, "http://"+c.publicAddresses[node]+path, strings.NewReader(body))
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
	_ = exactjson.Read(response.Body, &view)
	return response.StatusCode, view.Status
}

// jobStatus returns the status of a job, or the HTTP status code if that is not 200.
func (c *processCluster) jobStatus(node int, id string) string {
	code, status := c.callUserAPI(http.MethodGet, node, "/v2/runs/"+id, "")
	if code != http.StatusOK {
		return fmt.Sprint(code)
	}
	return status
}
