package httpfake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
	"stairrelay/internal/messages"
	"stairrelay/internal/simulation"
	"stairrelay/internal/simulation/workerjson"
)

const (
	// heartbeatTimeout is the timeout of a heartbeat request.
	heartbeatTimeout = 4 * time.Second
	// heartbeatRetryDelay is the delay of the next heartbeat after a failed one.
	heartbeatRetryDelay = time.Second
	// redirectDelay is the delay of the next heartbeat after a redirected one.
	redirectDelay = 10 * time.Millisecond
)

// httpWorker is a worker with an HTTP server. The lock of services guards its state.
type httpWorker struct {
	*simulation.FakeWorker
	services *Services
	address  string
	removed  bool
	cancel   context.CancelFunc
}

// startWorker starts the HTTP server and the heartbeats of a machine's worker.
func (s *Services) startWorker(machine cluster.ListedMachine) {
	ctx, cancel := context.WithCancel(s.ctx)
	worker := &httpWorker{FakeWorker: s.newFakeWorker(machine), services: s, cancel: cancel}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", worker.serveCommandPush)
	mux.HandleFunc("GET /inspect", worker.serveStatusQuery)
	addr, err := s.serve(mux)
	if err != nil {
		cancel()
		return
	}
	worker.address = addr
	s.WithLock(func() {
		worker.Start(s.now())
		s.workers[machine.ID] = worker
	})
	go worker.runHeartbeats(ctx)
}

func (s *Services) newFakeWorker(machine cluster.ListedMachine) *simulation.FakeWorker {
	return &simulation.FakeWorker{
		ID:            machine.ID,
		Type:          machine.Type,
		Zone:          machine.Zone,
		Spot:          machine.Spot,
		FetchDuration: fetchDuration,
		LeaseDuration: s.leaseDuration,
		DoneTasks:     s.doneTasks,
		OnStart:       s.recordTaskStart,
		Capacity:      s.Cloud.CapacityOf(machine.Type),
		LookupJob: func(id cluster.JobID) (simulation.JobInfo, bool) {
			info, known := s.Jobs[id]
			return info, known
		},
	}
}

// recordTaskStart counts the start of a task, and records a duplicate run if another
// machine already runs the task.
func (s *Services) recordTaskStart(on *simulation.FakeWorker, started *simulation.Task) {
	s.StartCounts[started.ID]++
	for _, other := range s.workers {
		task := other.Tasks[started.ID]
		if other.ID == on.ID || task == nil {
			continue
		}
		if task.State == cluster.Running || task.State == cluster.Checkpointing {
			s.DuplicateRuns = append(s.DuplicateRuns, started.ID.String())
		}
	}
}

// terminate marks the worker's machine as removed, drops its tasks and stops its
// heartbeats.
func (w *httpWorker) terminate() {
	if w.removed {
		return
	}
	w.removed = true
	w.Tasks = nil
	w.cancel()
}

func (w *httpWorker) hasRunningTask() bool {
	if w.removed {
		return false
	}
	for _, task := range w.Tasks {
		if task.State == cluster.Running {
			return true
		}
	}
	return false
}

// pushCommands is the body of a command push. Pointers distinguish a missing
// field from a zero.
type pushCommands struct {
	FencingToken *uint64   `json:"baton"`
	Incarnation  *uint64   `json:"shift"`
	Commands     []command `json:"dispatches"`
}

func (w *httpWorker) serveCommandPush(response http.ResponseWriter, request *http.Request) {
	var body pushCommands
	if !readJSON(response, request, &body) {
		return
	}
	if body.FencingToken == nil || body.Incarnation == nil {
		writeJSON(response, http.StatusBadRequest, nil)
		return
	}
	w.abortIfUnreachable(request)
	commands := messages.PushCommands{
		FencingToken: cluster.FencingToken(*body.FencingToken),
		Incarnation:  cluster.Incarnation(*body.Incarnation),
		Commands:     decodeCommands(body.Commands),
	}
	w.services.mu.Lock()
	defer w.services.mu.Unlock()
	w.Advance(w.services.now())
	reply := w.HandleCommands(commands)
	status := http.StatusOK
	if reply.Outcome == messages.Conflict {
		status = http.StatusConflict
	}
	writeJSON(response, status, workerjson.EncodeHeartbeat(reply.Status, w.address))
}

func (w *httpWorker) serveStatusQuery(response http.ResponseWriter, request *http.Request) {
	w.abortIfUnreachable(request)
	w.services.mu.Lock()
	defer w.services.mu.Unlock()
	writeJSON(response, http.StatusOK, workerjson.EncodeHeartbeat(w.NextStatus(), w.address))
}

// abortIfUnreachable drops a request to an unreachable machine. It holds the connection
// until the client disconnects or the services are closed, and then aborts the handler.
func (w *httpWorker) abortIfUnreachable(request *http.Request) {
	if !w.isUnreachable() {
		return
	}
	select {
	case <-request.Context().Done():
	case <-w.services.ctx.Done():
	}
	panic(http.ErrAbortHandler)
}

func (w *httpWorker) isUnreachable() bool {
	w.services.mu.Lock()
	defer w.services.mu.Unlock()
	return w.services.UnreachableMachines[w.ID]
}

// runHeartbeats sends heartbeats until ctx is done. After a failure it tries the next
// controller; after a redirect it switches to the controller named in the response.
func (w *httpWorker) runHeartbeats(ctx context.Context) {
	nodes := w.services.nodeNames()
	client := &http.Client{Timeout: heartbeatTimeout}
	current := 0
	for ctx.Err() == nil {
		result := w.sendHeartbeat(client, nodes[current])
		delay := heartbeatRetryDelay
		redirect, redirected := otherNodeIndex(nodes, result.redirect, current)
		switch {
		case result.accepted:
			delay = w.services.heartbeatInterval
		case redirected:
			current = redirect
			delay = redirectDelay
		default:
			current = (current + 1) % len(nodes)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

func (s *Services) nodeNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.NodeAddresses {
		names = append(names, name)
	}
	return names
}

// otherNodeIndex returns the index of the named controller. It reports false if the
// name is unknown or belongs to the current controller.
func otherNodeIndex(nodes []string, name string, current int) (int, bool) {
	for i, node := range nodes {
		if node == name && i != current {
			return i, true
		}
	}
	return 0, false
}

// heartbeatResult is the outcome of a heartbeat.
type heartbeatResult struct {
	accepted bool
	redirect string // name of the controller to switch to, or empty
}

// heartbeatResponse is the body of a heartbeat response: commands or a redirect.
type heartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []command `json:"dispatches"`
	Redirect     string    `json:"dispatcher"`
}

// sendHeartbeat sends a heartbeat to a controller and executes the commands in the
// response.
func (w *httpWorker) sendHeartbeat(client *http.Client, node string) heartbeatResult {
	var status cluster.HeartbeatStatus
	var sentAt cluster.Time
	var nodeAddress string
	var responseLost bool
	w.services.WithLock(func() {
		w.Advance(w.services.now())
		status = w.NextStatus()
		sentAt = w.services.now()
		nodeAddress = w.services.NodeAddresses[node]
		responseLost = w.services.UnreachableMachines[w.ID]
	})
	code, body, err := w.postHeartbeat(client, nodeAddress, status)
	switch {
	case err != nil || responseLost:
		return heartbeatResult{}
	case code == http.StatusMisdirectedRequest:
		return heartbeatResult{redirect: body.Redirect}
	case code != http.StatusOK:
		return heartbeatResult{}
	}
	response := messages.HeartbeatResponse{
		FencingToken: cluster.FencingToken(body.FencingToken),
		Commands:     decodeCommands(body.Commands),
	}
	w.services.WithLock(func() { w.HandleHeartbeatResponse(status.Incarnation, sentAt, response) })
	return heartbeatResult{accepted: true}
}

// postHeartbeat posts a heartbeat and returns the status code and body of the
// response. It ignores a body that cannot be decoded, as in an error response.
func (w *httpWorker) postHeartbeat(client *http.Client, address string, status cluster.HeartbeatStatus) (int, heartbeatResponse, error) {
	body, err := json.Marshal(workerjson.EncodeHeartbeat(status, w.address))
	if err != nil {
		return 0, heartbeatResponse{}, fmt.Errorf("encoding heartbeat: %w", err)
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/checkin", bytes.NewReader(body))
	if err != nil {
		return 0, heartbeatResponse{}, fmt.Errorf("creating heartbeat request to %s: %w", address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, heartbeatResponse{}, fmt.Errorf("sending heartbeat to %s: %w", address, err)
	}
	defer response.Body.Close()
	var decoded heartbeatResponse
	_ = exactjson.Read(response.Body, &decoded)
	return response.StatusCode, decoded, nil
}
