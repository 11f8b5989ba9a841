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
	regionBoot  = core.Time(200 * time.Millisecond)
	regionFetch = core.Time(100 * time.Millisecond)
	// headerTimeout bounds how long the region's servers wait for a request's header.
	headerTimeout = 5 * time.Second
)

// Region serves the models over HTTP on loopback, for tests of the real
// program: a state service, a cloud and the workers of its machines.
type Region struct {
	mu    sync.Mutex // guards all that follows up to the blank line
	State *State
	Cloud *Cloud
	// Jobs is what workers fetch of each job on their own.
	Jobs map[core.JobID]JobInfo
	// Nodes holds the controllers' addresses for workers, by name.
	Nodes map[string]string
	// StateDown makes the state service answer 503.
	StateDown bool
	// Unreachable holds machines whose reports arrive, but which nothing reaches.
	Unreachable map[core.MachineID]bool
	// Starts counts the starts of each task.
	Starts map[core.TaskID]int
	// RanTwice lists tasks that started while they ran on another machine.
	RanTwice []string
	done     map[core.TaskID]bool
	workers  map[core.MachineID]*regionWorker
	closers  []func()

	begun       time.Time
	lease       core.Time
	reportEvery time.Duration
	ctx         context.Context // ends with Close
}

// NewRegion makes a region whose workers report at an interval and live by a
// lease; Close ends all that it started.
func NewRegion(types []core.MachineType, capacity map[string]int, reportEvery, lease time.Duration) *Region {
	ctx, cancel := context.WithCancel(context.Background())
	boot := func() core.Time { return regionBoot }
	return &Region{
		State:       NewState(),
		Cloud:       NewCloud(types, capacity, boot),
		Jobs:        map[core.JobID]JobInfo{},
		Nodes:       map[string]string{},
		Unreachable: map[core.MachineID]bool{},
		Starts:      map[core.TaskID]int{},
		done:        map[core.TaskID]bool{},
		workers:     map[core.MachineID]*regionWorker{},
		closers:     []func(){cancel},
		begun:       time.Now(),
		lease:       core.Time(lease),
		reportEvery: reportEvery,
		ctx:         ctx,
	}
}

// Close ends the servers and workers.
func (r *Region) Close() {
	var closers []func()
	r.Locked(func() { closers = r.closers })
	for _, closeOne := range closers {
		closeOne()
	}
}

// Locked runs fn while nothing else of the region moves.
func (r *Region) Locked(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn()
}

// Add puts a running machine into the region.
func (r *Region) Add(machineType, zone string, spot bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Cloud.Capacity[Slot(machineType, zone, spot)]++
	r.Cloud.Rent(r.now(), core.CloudRent{
		Name:  "initial-" + strconv.Itoa(r.Cloud.next),
		Type:  machineType,
		Zone:  zone,
		Spot:  spot,
		Count: 1,
	})
}

// Running lists the machines that run something.
func (r *Region) Running() []core.MachineID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []core.MachineID
	for id, worker := range r.workers {
		if worker.runsSomething() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Gone tells whether a machine has been returned.
func (r *Region) Gone(id core.MachineID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workers[id] == nil || r.workers[id].gone
}

func (r *Region) now() core.Time { return core.Time(time.Since(r.begun)) }

// serve starts a server on loopback and returns its address.
func (r *Region) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	r.Locked(func() { r.closers = append(r.closers, func() { _ = server.Close() }) })
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
