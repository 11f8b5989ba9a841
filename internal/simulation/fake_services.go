package simulation

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
)

const (
	// fakeBootDuration is how long the region's machines take to boot, regionFetch how
	// long their workers take to fetch an image.
	fakeBootDuration  = cluster.Time(200 * time.Millisecond)
	fakeFetchDuration = cluster.Time(100 * time.Millisecond)
	// headerTimeout bounds how long the region's servers wait for a request's header.
	headerTimeout = 5 * time.Second
)

// FakeServices serves the models over HTTP on loopback, for tests of the real
// program: a state service, a cloud and the workers of its machines.
type FakeServices struct {
	mu           sync.Mutex // guards all that follows up to the blank line
	StateService *FakeStateService
	Cloud        *FakeCloud
	// Jobs is what workers fetch of each job on their own.
	Jobs map[cluster.JobID]JobInfo
	// NodeAddresses holds the controllers' addresses for workers, by name.
	NodeAddresses map[string]string
	// StateServiceDown makes the state service answer 503.
	StateServiceDown bool
	// UnreachableMachines holds machines whose reports arrive, but which nothing reaches.
	UnreachableMachines map[cluster.MachineID]bool
	// StartCounts counts the starts of each task.
	StartCounts map[cluster.TaskID]int
	// DuplicateRuns lists tasks that started while they ran on another machine.
	DuplicateRuns []string
	doneTasks     map[cluster.TaskID]bool
	workers       map[cluster.MachineID]*httpWorker
	closers       []func()

	startedAt         time.Time
	leaseDuration     cluster.Time
	heartbeatInterval time.Duration
	ctx               context.Context // ends with Close
}

// NewFakeServices makes a region whose workers report at an interval and live by a
// lease; Close ends all that it started.
func NewFakeServices(types []cluster.MachineType, capacity map[string]int, reportEvery, lease time.Duration) *FakeServices {
	ctx, cancel := context.WithCancel(context.Background())
	boot := func() cluster.Time { return fakeBootDuration }
	return &FakeServices{
		StateService:        NewFakeStateService(),
		Cloud:               NewFakeCloud(types, capacity, boot),
		Jobs:                map[cluster.JobID]JobInfo{},
		NodeAddresses:       map[string]string{},
		UnreachableMachines: map[cluster.MachineID]bool{},
		StartCounts:         map[cluster.TaskID]int{},
		doneTasks:           map[cluster.TaskID]bool{},
		workers:             map[cluster.MachineID]*httpWorker{},
		closers:             []func(){cancel},
		startedAt:           time.Now(),
		leaseDuration:       cluster.Time(lease),
		heartbeatInterval:   reportEvery,
		ctx:                 ctx,
	}
}

// Close ends the servers and workers.
func (r *FakeServices) Close() {
	var closers []func()
	r.WithLock(func() { closers = r.closers })
	for _, closeOne := range closers {
		closeOne()
	}
}

// WithLock runs fn while nothing else of the region moves.
func (r *FakeServices) WithLock(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn()
}

// AddMachine puts a running machine into the region.
func (r *FakeServices) AddMachine(machineType, zone string, spot bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Cloud.AvailableCapacity[CapacityKey(machineType, zone, spot)]++
	r.Cloud.ScaleOut(r.now(), messages.CloudScaleOut{
		Name:  "initial-" + strconv.Itoa(r.Cloud.lastMachineNumber),
		Type:  machineType,
		Zone:  zone,
		Spot:  spot,
		Count: 1,
	})
}

// BusyMachines lists the machines that run something.
func (r *FakeServices) BusyMachines() []cluster.MachineID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []cluster.MachineID
	for id, worker := range r.workers {
		if worker.hasRunningTask() {
			ids = append(ids, id)
		}
	}
	return ids
}

// IsReleased tells whether a machine has been returned.
func (r *FakeServices) IsReleased(id cluster.MachineID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workers[id] == nil || r.workers[id].released
}

func (r *FakeServices) now() cluster.Time { return cluster.Time(time.Since(r.startedAt)) }

// serve starts a server on loopback and returns its address.
func (r *FakeServices) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	r.WithLock(func() { r.closers = append(r.closers, func() { _ = server.Close() }) })
	return listener.Addr().String(), nil
}

// writeJSON answers a request.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// readJSON reads a request's body; on failure it answers 400.
func readJSON(w http.ResponseWriter, request *http.Request, form any) bool {
	if json.NewDecoder(request.Body).Decode(form) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return false
	}
	return true
}

// errorForm is the body of a refusal.
type errorForm struct {
	Error string `json:"error"`
}
