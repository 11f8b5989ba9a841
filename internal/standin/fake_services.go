package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"stairrelay/internal/core"
)

const (
	// regionBoot is how long the region's machines take to boot, regionFetch how
	// long their workers take to fetch an image.
	fakeBootDuration  = core.Time(200 * time.Millisecond)
	fakeFetchDuration = core.Time(100 * time.Millisecond)
	// headerTimeout bounds how long the region's servers wait for a request's header.
	headerTimeout = 5 * time.Second
)

// Region serves the models over HTTP on loopback, for tests of the real
// program: a state service, a cloud and the workers of its machines.
type FakeServices struct {
	mu           sync.Mutex // guards all that follows up to the blank line
	StateService *FakeStateService
	Cloud        *FakeCloud
	// Jobs is what workers fetch of each job on their own.
	Jobs map[core.JobID]JobInfo
	// Nodes holds the controllers' addresses for workers, by name.
	NodeAddresses map[string]string
	// StateDown makes the state service answer 503.
	StateServiceDown bool
	// Unreachable holds machines whose reports arrive, but which nothing reaches.
	UnreachableMachines map[core.MachineID]bool
	// Starts counts the starts of each task.
	StartCounts map[core.TaskID]int
	// RanTwice lists tasks that started while they ran on another machine.
	DuplicateRuns []string
	doneTasks     map[core.TaskID]bool
	workers       map[core.MachineID]*httpWorker
	closers       []func()

	startedAt         time.Time
	leaseDuration     core.Time
	heartbeatInterval time.Duration
	ctx               context.Context // ends with Close
}

// NewRegion makes a region whose workers report at an interval and live by a
// lease; Close ends all that it started.
func NewFakeServices(types []core.MachineType, capacity map[string]int, reportEvery, lease time.Duration) *FakeServices {
	ctx, cancel := context.WithCancel(context.Background())
	boot := func() core.Time { return fakeBootDuration }
	return &FakeServices{
		StateService:        NewFakeStateService(),
		Cloud:               NewFakeCloud(types, capacity, boot),
		Jobs:                map[core.JobID]JobInfo{},
		NodeAddresses:       map[string]string{},
		UnreachableMachines: map[core.MachineID]bool{},
		StartCounts:         map[core.TaskID]int{},
		doneTasks:           map[core.TaskID]bool{},
		workers:             map[core.MachineID]*httpWorker{},
		closers:             []func(){cancel},
		startedAt:           time.Now(),
		leaseDuration:       core.Time(lease),
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

// Locked runs fn while nothing else of the region moves.
func (r *FakeServices) WithLock(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn()
}

// Add puts a running machine into the region.
func (r *FakeServices) AddMachine(machineType, zone string, spot bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Cloud.AvailableCapacity[CapacityKey(machineType, zone, spot)]++
	r.Cloud.ScaleOut(r.now(), core.CloudScaleOut{
		Name:  "initial-" + strconv.Itoa(r.Cloud.lastMachineNumber),
		Type:  machineType,
		Zone:  zone,
		Spot:  spot,
		Count: 1,
	})
}

// Running lists the machines that run something.
func (r *FakeServices) BusyMachines() []core.MachineID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []core.MachineID
	for id, worker := range r.workers {
		if worker.hasRunningTask() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Gone tells whether a machine has been returned.
func (r *FakeServices) IsReleased(id core.MachineID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workers[id] == nil || r.workers[id].released
}

func (r *FakeServices) now() core.Time { return core.Time(time.Since(r.startedAt)) }

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
