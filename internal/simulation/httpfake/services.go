// Package httpfake serves the fakes of the simulation over HTTP on loopback, for
// tests of the real program.
package httpfake

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/simulation"
)

const (
	// bootDuration is how long a machine takes to boot.
	bootDuration = cluster.Time(200 * time.Millisecond)
	// fetchDuration is how long a worker takes to fetch an image.
	fetchDuration = cluster.Time(100 * time.Millisecond)
	// headerTimeout bounds how long a server waits for a request's header.
	headerTimeout = 5 * time.Second
)

// Services serves a state service, a cloud and the workers of its machines.
type Services struct {
	mu           sync.Mutex // guards the fields up to the blank line
	StateService *simulation.FakeStateService
	Cloud        *simulation.FakeCloud
	// Jobs is what workers fetch of each job on their own.
	Jobs map[cluster.JobID]simulation.JobInfo
	// NodeAddresses holds the controllers' addresses for workers, by name.
	NodeAddresses map[string]string
	// StateServiceDown makes the state service answer 503.
	StateServiceDown bool
	// UnreachableMachines holds machines whose heartbeats arrive, but which nothing
	// reaches.
	UnreachableMachines map[cluster.MachineID]bool
	// StartCounts counts the starts of each task.
	StartCounts map[cluster.TaskID]int
	// DuplicateRuns lists tasks that started while they ran on another machine.
	DuplicateRuns []string
	doneTasks     map[cluster.TaskID]bool
	initialCount  int // machines that AddMachine has provisioned
	workers       map[cluster.MachineID]*httpWorker
	closers       []func()

	startedAt         time.Time
	leaseDuration     cluster.Time
	heartbeatInterval time.Duration
	ctx               context.Context // ends with Close
}

// NewServices makes services whose workers send heartbeats at an interval and
// drop their tasks when the lease expires; Close ends all that was started.
func NewServices(types []cluster.MachineType, capacity map[string]int, heartbeatInterval, lease time.Duration) *Services {
	ctx, cancel := context.WithCancel(context.Background())
	boot := func() cluster.Time { return bootDuration }
	return &Services{
		StateService:        simulation.NewFakeStateService(),
		Cloud:               simulation.NewFakeCloud(types, capacity, boot),
		Jobs:                map[cluster.JobID]simulation.JobInfo{},
		NodeAddresses:       map[string]string{},
		UnreachableMachines: map[cluster.MachineID]bool{},
		StartCounts:         map[cluster.TaskID]int{},
		doneTasks:           map[cluster.TaskID]bool{},
		workers:             map[cluster.MachineID]*httpWorker{},
		closers:             []func(){cancel},
		startedAt:           time.Now(),
		leaseDuration:       cluster.Time(lease),
		heartbeatInterval:   heartbeatInterval,
		ctx:                 ctx,
	}
}

// Close ends the servers and workers.
func (s *Services) Close() {
	var closers []func()
	s.WithLock(func() { closers = s.closers })
	for _, closer := range closers {
		closer()
	}
}

// WithLock runs fn while no service handles a request.
func (s *Services) WithLock(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

// AddMachine provisions a machine.
func (s *Services) AddMachine(machineType, zone string, spot bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Cloud.AvailableCapacity[simulation.CapacityKey(machineType, zone, spot)]++
	s.Cloud.ScaleOut(s.now(), messages.CloudScaleOut{
		Name:  "initial-" + strconv.Itoa(s.initialCount),
		Type:  machineType,
		Zone:  zone,
		Spot:  spot,
		Count: 1,
	})
	s.initialCount++
}

// BusyMachines lists the machines on which a task runs.
func (s *Services) BusyMachines() []cluster.MachineID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []cluster.MachineID
	for id, worker := range s.workers {
		if worker.hasRunningTask() {
			ids = append(ids, id)
		}
	}
	return ids
}

// IsReleased tells whether a machine was released.
func (s *Services) IsRemoved(id cluster.MachineID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[id] == nil || s.workers[id].removed
}

func (s *Services) now() cluster.Time { return cluster.Time(time.Since(s.startedAt)) }

// serve starts a server on loopback and returns its address.
func (s *Services) serve(handler http.Handler) (string, error) {
	listener, err := new(net.ListenConfig).Listen(s.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	s.WithLock(func() { s.closers = append(s.closers, func() { _ = server.Close() }) })
	return listener.Addr().String(), nil
}

// writeJSON answers a request. A caller that has gone does not read the answer.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// readJSON reads a request's body; on failure it answers 400.
func readJSON(w http.ResponseWriter, request *http.Request, body any) bool {
	if json.NewDecoder(request.Body).Decode(body) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return false
	}
	return true
}

// errorForm is the body of a refusal.
type errorResponse struct {
	Error string `json:"error"`
}
