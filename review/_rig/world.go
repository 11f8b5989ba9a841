// Command rig runs one case of the review: it starts stand-ins of the state service, the cloud,
// the workers and the users, and the project's own controllers as separate processes, and checks
// the rules of the protocol page as the clients, the workers and the platform see them.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machineType is a machine type of the cloud.
type machineType struct {
	Name         string
	CPU, Memory  float64
	Price, Spot  float64
	CacheGB, Gbs float64
	BootS        float64
	Zones        []string
}

// team is a team in the settings.
type team struct {
	Name          string
	CPUs, CPUsMax float64
}

// site is a small deployment.
type site struct {
	Name              string
	Nodes             int
	Zones             []string
	Types             []machineType
	Teams             []team
	ReportS, LeaseS   float64
	CancelS           float64
	RPS, WriteRPS     float64
	ValueKB           float64
	TxnOps            int
	CloudRPS, ListLag float64
	CoreShare, MemMB  float64
	MaxConnections    int
}

// mvta is the Merrimack Valley deployment of the brief (kit/sites/mvta-tickets.toml).
func mvta() site {
	zones := []string{"lowell-garage", "lawrence-depot", "haverhill-yard"}
	s := site{
		Name: "mvta-tickets", Nodes: 3, Zones: zones,
		Types: []machineType{
			{Name: "depot-small", CPU: 4, Memory: 16, Price: 0.16, Spot: 0.06, CacheGB: 40, Gbs: 1, BootS: 20, Zones: zones},
			{Name: "garage-big", CPU: 64, Memory: 512, Price: 2.84, Spot: 1.08, CacheGB: 200, Gbs: 1, BootS: 35, Zones: zones},
		},
		ReportS: 2, LeaseS: 12, CancelS: 37, RPS: 150, WriteRPS: 25, ValueKB: 4, TxnOps: 12, CloudRPS: 6, ListLag: 3,
		CoreShare: 0.18, MemMB: 125, MaxConnections: 1500,
	}
	for i := 1; i <= 6; i++ {
		s.Teams = append(s.Teams, team{Name: fmt.Sprintf("fares-desk-%d", i), CPUs: 24, CPUsMax: 48})
	}
	return s
}

// world is the whole simulated surroundings of the controllers.
type world struct {
	site    site
	start   time.Time
	rng     *rand.Rand
	dir     string
	command []string // of the deploy file, without the path of the settings

	mu      sync.Mutex
	record  *os.File
	broken  []string
	jobs    map[string]*job
	store   *store
	cloud   *cloud
	workers map[string]*worker
	nodes   []*node
	done    map[string]bool // tasks whose result is kept
	stopped chan struct{}
	closing sync.Once

	processes sync.Mutex // held while a process is started or ended
	closed    bool

	bootFor   func() time.Duration
	fetchFor  func() time.Duration
	reportAdd string // raw JSON fields that each report has in addition
}

// node is one controller process with its addresses.
type node struct {
	index        int
	name         string
	listen, back string
	peerProxies  map[int]*proxy // by target node: what this node dials
	workerProxy  *proxy         // what workers dial
	storeAddr    string
	settings     string
	cmd          *exec.Cmd
	log          *os.File
}

func newWorld(s site, seed int64, dir string, command []string, recordPath string) (*world, error) {
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{
		site: s, start: time.Now(), rng: rand.New(rand.NewSource(seed)), dir: dir, command: command, record: f,
		jobs: map[string]*job{}, workers: map[string]*worker{}, done: map[string]bool{}, stopped: make(chan struct{}),
	}
	w.bootFor = func() time.Duration { return time.Duration(1000+w.rng.Intn(1000)) * time.Millisecond }
	w.fetchFor = func() time.Duration { return time.Duration(200+w.rng.Intn(400)) * time.Millisecond }
	return w, nil
}

// now returns the seconds since the start of the run.
func (w *world) now() float64 { return time.Since(w.start).Seconds() }

// logf writes a line to record.txt. The caller need not hold the lock.
func (w *world) logf(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", w.now()) + fmt.Sprintf(format, args...)
	_, _ = w.record.WriteString(line + "\n")
}

// breaks records that a rule was broken. The caller holds the lock.
func (w *world) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.broken = append(w.broken, fmt.Sprintf("%.3f %s", w.now(), text))
	w.logf("BROKEN %s", text)
}

// newNode returns a controller with free addresses and its own way to the state service.
func (w *world) newNode(index int) (*node, error) {
	n := &node{index: index, name: fmt.Sprintf("landing-%d", index), listen: freeAddr(), back: freeAddr(), peerProxies: map[int]*proxy{}}
	var err error
	if n.workerProxy, err = newProxy(n.listen); err != nil {
		return nil, err
	}
	n.storeAddr, err = w.store.listen(index)
	return n, err
}

// connect gives a controller a way to each of the others that it has no way to yet.
func (w *world) connect(n *node, all []*node) error {
	for _, other := range all {
		if other == n || n.peerProxies[other.index] != nil {
			continue
		}
		p, err := newProxy(other.back)
		if err != nil {
			return err
		}
		n.peerProxies[other.index] = p
	}
	return nil
}

// startNodes writes the settings files and starts all controllers.
func (w *world) startNodes() error {
	for i := 0; i < w.site.Nodes; i++ {
		n, err := w.newNode(i)
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		if err := w.connect(n, w.nodes); err != nil {
			return err
		}
		n.settings = filepath.Join(w.dir, n.name+".toml")
		if err := os.WriteFile(n.settings, []byte(w.settings(n)), 0o600); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := w.startNode(n); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) settings(n *node) string {
	s := &w.site
	var b strings.Builder
	fmt.Fprintf(&b, "host_name = %q\ndomain = %q\nlisten = %q\nback = %q\n\n", n.name, s.Zones[n.index%len(s.Zones)], n.listen, n.back)
	for _, other := range w.nodes {
		if other != n {
			fmt.Fprintf(&b, "[[peers]]\nhost_name = %q\ndomain = %q\nendpoint = %q\n\n", other.name, s.Zones[other.index%len(s.Zones)], n.peerProxies[other.index].addr)
		}
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n\n", w.cloud.addr, n.storeAddr)
	fmt.Fprintf(&b, "[cluster]\ncount = %d\nzones = [%s]\ntime_bound_ms = 1000.0\n\n", s.Nodes, quoteAll(s.Zones))
	for _, t := range s.Teams {
		fmt.Fprintf(&b, "[[cluster.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n\n", t.Name, t.CPUs, t.CPUsMax)
	}
	fmt.Fprintf(&b, "[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 6.0\ncancel_s = %.1f\n\n", s.ReportS, s.LeaseS, s.CancelS)
	fmt.Fprintf(&b, "[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n\n", s.RPS, s.WriteRPS, s.ValueKB, s.TxnOps)
	fmt.Fprintf(&b, "[cluster.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n", s.CloudRPS, s.ListLag)
	fmt.Fprintf(&b, "[cluster.machine_limits]\ncore_share = %.3f\nmem_mb = %.1f\nmax_connections = %d\n", s.CoreShare, s.MemMB, s.MaxConnections)
	return b.String()
}

func quoteAll(names []string) string {
	quoted := make([]string, len(names))
	for i, n := range names {
		quoted[i] = fmt.Sprintf("%q", n)
	}
	return strings.Join(quoted, ", ")
}

// startNode starts one controller with the run command of the deploy file. It does nothing after
// the run has ended.
func (w *world) startNode(n *node) error {
	w.processes.Lock()
	defer w.processes.Unlock()
	if w.closed {
		return nil
	}
	f, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(w.command[0], append(append([]string{}, w.command[1:]...), n.settings)...)
	cmd.Stderr = f
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	if err := cmd.Start(); err != nil {
		return err
	}
	w.mu.Lock()
	n.cmd, n.log = cmd, f
	w.mu.Unlock()
	w.logf("%s started, pid %d", n.name, cmd.Process.Pid)
	return nil
}

func logLevel() string {
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		return level
	}
	return "info"
}

// kill ends a controller without a signal that it could handle.
func (w *world) kill(n *node) {
	w.processes.Lock()
	defer w.processes.Unlock()
	w.mu.Lock()
	cmd := n.cmd
	n.cmd = nil
	w.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	_ = n.log.Close()
	w.logf("%s killed", n.name)
}

// pause stops a controller's process; its clocks run on.
func (w *world) pause(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(syscall.SIGSTOP)
		w.logf("%s stands still", n.name)
	}
}

func (w *world) resume(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		w.logf("%s goes on", n.name)
	}
}

// close ends all processes that were started.
func (w *world) close() {
	w.closing.Do(func() { close(w.stopped) })
	w.processes.Lock()
	w.closed = true
	w.processes.Unlock()
	for _, n := range w.nodes {
		w.kill(n)
	}
	_ = w.record.Close()
}

func (w *world) sleep(seconds float64) { time.Sleep(time.Duration(seconds * float64(time.Second))) }
