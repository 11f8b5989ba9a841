package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxCaseTime is how long a case may take.
const maxCaseTime = 118 * time.Second

// site is what the settings of a deployment say.
type site struct {
	teams                      string // the tables of the teams
	reportS, leaseS, cancelS   float64
	rps, writeRPS, valueKB     float64
	txnOps                     int
	cloudRPS, listLagS         float64
	coreShare, memMB           float64
	maxConnections, nodeNumber int
	restartAfter               time.Duration // how long after its end a controller is back
}

// platform runs the controllers of a case as processes, and the stand-ins around them.
type platform struct {
	site    site
	record  *recorder
	dir     string
	run     []string // the command of the deploy file that starts a controller
	store   *store
	cloud   *cloud
	world   *world
	nodes   []node
	backs   []string
	stop    chan struct{}
	servers []*http.Server

	useLinks bool // put a link between the controllers and each machine

	mu        sync.Mutex
	processes []*process
	links     map[string]*link // by machine

	closed      bool
	memoryKills int // controllers ended because they held too much memory
}

// process is the process of a controller.
type process struct {
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

// freeAddress returns a loopback address with a free port. The port is below those that the
// system gives to outgoing connections and to listeners without a port of their own, so that
// it stays free while a controller is down.
func freeAddress() (string, error) {
	const lowestPort, ports, attempts = 20_000, 12_000, 100
	for range attempts {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(ports))
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no free port")
}

func (p *platform) serve(handler http.Handler) (string, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: reportTimeout}
	p.servers = append(p.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// errClosed means that a controller was to be started after the end of the case.
var errClosed = errors.New("the case is over")

// deployRun returns the command that starts a controller, from the deploy file.
func deployRun(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		name, value, found := strings.Cut(line, "=")
		if found && strings.TrimSpace(name) == "run" {
			command, err := strconv.Unquote(strings.TrimSpace(value))
			if err != nil {
				return nil, err
			}
			return strings.Fields(command), nil
		}
	}
	return nil, errors.New("the deploy file has no run command")
}

// newPlatform starts the stand-ins and writes the settings of the controllers.
func newPlatform(s site, record *recorder, fleets []fleet, capacity map[string]int, fetch time.Duration) (*platform, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	run, err := deployRun(root)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	p := &platform{
		site: s, record: record, dir: dir, run: run, stop: make(chan struct{}),
		processes: make([]*process, s.nodeNumber), links: map[string]*link{},
		store: newStore(storeLimits{s.rps, s.writeRPS, int(s.valueKB * 1024), s.txnOps}),
		cloud: newCloud(fleets, capacity, s.cloudRPS, time.Duration(s.listLagS*float64(time.Second))),
		world: &world{
			record: record, ledger: newLedger(record), jobs: map[string]*jobInfo{}, doneLegs: map[string]bool{},
			reportS: time.Duration(s.reportS * float64(time.Second)), lease: time.Duration(s.leaseS * float64(time.Second)),
			fetch: fetch, machines: map[string]*worker{},
		},
	}
	for i := range s.nodeNumber {
		listen, err := freeAddress()
		if err != nil {
			return nil, err
		}
		back, err := freeAddress()
		if err != nil {
			return nil, err
		}
		p.nodes = append(p.nodes, node{fmt.Sprintf("landing-%d", i), listen})
		p.backs = append(p.backs, back)
	}
	p.world.nodes = p.nodes
	p.cloud.onBoot, p.cloud.onGone = p.boot, p.world.remove
	go p.endIfInterrupted()
	return p, p.writeSettings()
}

// endIfInterrupted ends everything if the case is interrupted or takes too long.
func (p *platform) endIfInterrupted() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case <-p.stop:
		return
	case <-interrupted:
	case <-time.After(maxCaseTime):
	}
	p.record.event("interrupted")
	p.close()
	os.Exit(exitNotRun)
}

// boot starts the worker of a machine that is up.
func (p *platform) boot(machine *coach) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		p.record.event("boot_failed", "coach", machine.ID, "error", err)
		return
	}
	var toMachine *link
	address := listener.Addr().String()
	if p.useLinks {
		if toMachine, address, err = p.newLink(address); err != nil {
			p.record.event("boot_failed", "coach", machine.ID, "error", err)
			return
		}
	}
	p.cloud.mu.Lock()
	machine.Addr = address
	copied := *machine
	p.cloud.mu.Unlock()
	if toMachine != nil {
		p.mu.Lock()
		p.links[machine.ID] = toMachine
		p.mu.Unlock()
	}
	p.record.event("up", "coach", machine.ID, "addr", copied.Addr)
	p.world.startWorker(copied, p.cloud.fleetOf(machine.Fleet), listener)
}

func (p *platform) settingsPath(i int) string {
	return filepath.Join(p.dir, p.nodes[i].name+".toml")
}

func (p *platform) writeSettings() error {
	stateAddr, err := p.serve(p.store.handler())
	if err != nil {
		return err
	}
	cloudAddr, err := p.serve(p.cloud.handler())
	if err != nil {
		return err
	}
	s := p.site
	for i := range p.nodes {
		var text strings.Builder
		fmt.Fprintf(&text, "host_name = %q\ndomain = \"a\"\nlisten = %q\nback = %q\n\n", p.nodes[i].name, p.nodes[i].addr, p.backs[i])
		for k := range p.nodes {
			if k != i {
				fmt.Fprintf(&text, "[[peers]]\nhost_name = %q\ndomain = \"a\"\nendpoint = %q\n\n", p.nodes[k].name, p.backs[k])
			}
		}
		fmt.Fprintf(&text, "[external]\ncloud = %q\nstate = %q\n\n", cloudAddr, stateAddr)
		fmt.Fprintf(&text, "[cluster]\ncount = %d\nzones = [\"a\"]\ntime_bound_ms = 1000.0\n\n%s\n", len(p.nodes), s.teams)
		fmt.Fprintf(&text, "[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 6.0\ncancel_s = %.1f\n\n", s.reportS, s.leaseS, s.cancelS)
		fmt.Fprintf(&text, "[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n\n", s.rps, s.writeRPS, s.valueKB, s.txnOps)
		fmt.Fprintf(&text, "[cluster.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n", s.cloudRPS, s.listLagS)
		fmt.Fprintf(&text, "[cluster.machine_limits]\ncore_share = %.3f\nmem_mb = %.1f\nmax_connections = %d\n", s.coreShare, s.memMB, s.maxConnections)
		if err := os.WriteFile(p.settingsPath(i), []byte(text.String()), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts a controller.
func (p *platform) startNode(i int) error {
	log, err := os.OpenFile(filepath.Join(p.dir, p.nodes[i].name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	arguments := append(append([]string{}, p.run[1:]...), p.settingsPath(i))
	command := exec.CommandContext(context.Background(), p.run[0], arguments...)
	command.Stderr = log
	command.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errClosed
	}
	if err := command.Start(); err != nil {
		return err
	}
	started := &process{command: command, ended: make(chan struct{})}
	p.processes[i] = started
	p.record.event("controller_started", "node", p.nodes[i].name)
	go func() {
		_ = command.Wait()
		p.record.event("controller_ended", "node", p.nodes[i].name, "state", strconv.Quote(command.ProcessState.String()))
		close(started.ended)
	}()
	return nil
}

func logLevel() string {
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		return level
	}
	return "info"
}

// process returns the present process of a controller.
func (p *platform) process(i int) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.processes[i]
}

// kill ends a controller without a warning, and waits until it has ended.
func (p *platform) kill(i int) {
	running := p.process(i)
	if running == nil {
		return
	}
	p.record.event("kill", "node", p.nodes[i].name)
	_ = running.command.Process.Kill()
	<-running.ended
}

// startAll starts all controllers and waits until each answers its health check.
func (p *platform) startAll(timeout time.Duration) error {
	go p.cloud.run(p.stop)
	for i := range p.nodes {
		if err := p.startNode(i); err != nil {
			return err
		}
	}
	return p.waitHealthy(timeout)
}

// waitHealthy waits until each controller answers its health check.
func (p *platform) waitHealthy(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for i := range p.nodes {
		for !p.healthy(i) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not healthy in time", p.nodes[i].name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (p *platform) healthy(i int) bool {
	status, _, err := get(&http.Client{Timeout: time.Second}, "http://"+p.nodes[i].addr+"/healthz")
	return err == nil && status == http.StatusOK
}

// close ends everything that the platform started. Only the first call has an effect.
func (p *platform) close() {
	p.mu.Lock()
	closed := p.closed
	p.closed = true
	p.mu.Unlock()
	if closed {
		return
	}
	close(p.stop) // before the controllers are ended, so that none is started again
	for i := range p.nodes {
		if running := p.process(i); running != nil {
			_ = running.command.Process.Kill()
			<-running.ended
		}
	}
	p.world.mu.Lock()
	machines := make([]*worker, 0, len(p.world.machines))
	for _, machine := range p.world.machines {
		machines = append(machines, machine)
	}
	p.world.mu.Unlock()
	for _, machine := range machines {
		machine.stop()
		_ = machine.server.Close()
	}
	for _, server := range p.servers {
		_ = server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.dir)
	}
}
