// Package httpfake serves the fakes of package simulation over HTTP on the loopback
// interface, for end-to-end tests.
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
	"stairrelay/internal/exactjson"
	"stairrelay/internal/messages"
	"stairrelay/internal/simulation"
)

const (
	// bootDuration is how long a machine takes to boot.
	bootDuration = cluster.Time(200 * time.Millisecond)
	// fetchDuration is how long a worker takes to fetch an image.
	fetchDuration = cluster.Time(100 * time.Millisecond)
	// headerTimeout is how long a server waits for a request's header.
	headerTimeout = 5 * time.Second
)

// Services serves a store, a cloud and the workers of its machines.
type Services struct {
	mu    sync.Mutex // guards the fields up to the blank line
	Store *simulation.FakeStore
	Cloud *simulation.FakeCloud
	// Jobs holds the job information that workers look up.
	Jobs map[cluster.JobID]simulation.JobInfo
	// NodeAddresses maps controller names to the addresses that workers connect to.
	NodeAddresses map[string]string
	// StoreDown makes the store respond with 503.
	StoreDown bool
	// UnreachableMachines holds the machines that no request or response reaches.
	// Their heartbeats still arrive at the controllers.
	UnreachableMachines map[cluster.MachineID]bool
	// StartCounts holds the number of starts of each task.
	StartCounts map[cluster.TaskID]int
	// DuplicateRuns lists the tasks that started while already running on another
	// machine.
	DuplicateRuns []string
	doneTasks     map[cluster.TaskID]bool
	initialCount  int // number of machines provisioned by AddMachine
	workers       map[cluster.MachineID]*httpWorker
	closers       []func()

	startedAt         time.Time
	leaseDuration     cluster.Time
	heartbeatInterval time.Duration
	ctx               context.Context // cancelled by Close
}

// NewServices returns services whose workers send heartbeats at the given interval
// and drop their tasks when the lease expires. Close stops everything that the
// services have started.
func NewServices(types []cluster.MachineType, capacity map[string]int, heartbeatInterval, lease time.Duration) *Services {
	ctx, cancel := context.WithCancel(context.Background())
	boot := func() cluster.Time { return bootDuration }
	return &Services{
		Store:               simulation.NewFakeStore(),
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

// Close stops the servers and workers.
func (s *Services) Close() {
	var closers []func()
	s.WithLock(func() { closers = s.closers })
	for _, closer := range closers {
		closer()
	}
}

// WithLock runs fn while holding the lock that guards the services' state.
func (s *Services) WithLock(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

// AddMachine provisions a machine without using up the available capacity.
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

// BusyMachines returns the machines with a running task, in no particular order.
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

// IsRemoved reports whether a machine was removed or has no worker.
func (s *Services) IsRemoved(id cluster.MachineID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[id] == nil || s.workers[id].removed
}

func (s *Services) now() cluster.Time { return cluster.Time(time.Since(s.startedAt)) }

// serve starts a server on the loopback interface, which Close stops, and returns the
// server's address.
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

// writeJSON writes a JSON response. It ignores errors, since the client may have
// disconnected.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// readJSON decodes the JSON body of a request. On failure it responds with 400 and
// returns false.
func readJSON(w http.ResponseWriter, request *http.Request, body any) bool {
	if exactjson.Read(request.Body, body) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return false
	}
	return true
}

// errorResponse is the body of an error response.
type errorResponse struct {
	Error string `json:"error"`
}
