package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// heartbeatTimeout bounds a report's call, checkinRetry is the pause after one
	// that failed, and redirectPause the one after a redirection.
	heartbeatTimeout    = 4 * time.Second
	heartbeatRetryPause = time.Second
	redirectPause       = 10 * time.Millisecond
)

// httpWorker is a worker that is served over HTTP. The region's lock guards it.
type httpWorker struct {
	*FakeWorker
	services *FakeServices
	address  string
	released bool // its machine has been returned
	cancel   context.CancelFunc
}

// startWorker serves a machine's worker and lets it report.
func (r *FakeServices) startWorker(machine cluster.ListedMachine) {
	ctx, cancel := context.WithCancel(r.ctx)
	worker := &httpWorker{FakeWorker: r.newFakeWorker(machine), services: r, cancel: cancel}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", worker.serveCommandPush)
	mux.HandleFunc("GET /inspect", worker.serveStatusQuery)
	addr, err := r.serve(mux)
	if err != nil {
		cancel()
		return
	}
	worker.address = addr
	r.WithLock(func() {
		worker.Start(r.now())
		r.workers[machine.ID] = worker
	})
	go worker.runHeartbeats(ctx)
}

// newFakeWorker makes the model of a machine's worker.
func (r *FakeServices) newFakeWorker(machine cluster.ListedMachine) *FakeWorker {
	model := &FakeWorker{
		ID:            machine.ID,
		Type:          machine.Type,
		Zone:          machine.Zone,
		Spot:          machine.Spot,
		FetchDuration: fakeFetchDuration,
		LeaseDuration: r.leaseDuration,
		DoneTasks:     r.doneTasks,
		OnStart:       r.recordTaskStart,
	}
	model.LookupJob = func(id cluster.JobID) (JobInfo, bool) {
		info, known := r.Jobs[id]
		return info, known
	}
	for _, t := range r.Cloud.MachineTypes {
		if t.Name == machine.Type {
			model.Capacity = t.Capacity
		}
	}
	return model
}

// recordTaskStart counts a task's start, and notes when it runs elsewhere.
func (r *FakeServices) recordTaskStart(on *FakeWorker, started *Task) {
	r.StartCounts[started.ID]++
	for _, other := range r.workers {
		task := other.Tasks[started.ID]
		if other.ID == on.ID || task == nil {
			continue
		}
		if task.State == cluster.Running || task.State == cluster.Checkpointing {
			r.DuplicateRuns = append(r.DuplicateRuns, started.ID.String())
		}
	}
}

// terminate takes the worker's machine away.
func (w *httpWorker) terminate() {
	if w.released {
		return
	}
	w.released = true
	w.Tasks = nil
	w.cancel()
}

func (w *httpWorker) hasRunningTask() bool {
	if w.released {
		return false
	}
	for _, task := range w.Tasks {
		if task.State == cluster.Running {
			return true
		}
	}
	return false
}

// commandPushForm is a request with commands.
type commandPushForm struct {
	FencingToken *uint64       `json:"baton"`
	Incarnation  *uint64       `json:"shift"`
	Commands     []commandForm `json:"dispatches"`
}

func (w *httpWorker) serveCommandPush(response http.ResponseWriter, request *http.Request) {
	var form commandPushForm
	if !readJSON(response, request, &form) {
		return
	}
	if form.FencingToken == nil || form.Incarnation == nil {
		writeJSON(response, http.StatusBadRequest, nil)
		return
	}
	w.abortIfUnreachable(request)
	orders := messages.PushCommands{
		FencingToken: cluster.FencingToken(*form.FencingToken),
		Incarnation:  cluster.Incarnation(*form.Incarnation),
		Commands:     decodeCommands(form.Commands),
	}
	w.services.mu.Lock()
	defer w.services.mu.Unlock()
	w.Advance(w.services.now())
	reply := w.HandleCommands(orders)
	status := http.StatusOK
	if reply.Outcome == messages.Conflict {
		status = http.StatusConflict
	}
	writeJSON(response, status, encodeHeartbeat(reply.Status, w.address))
}

func (w *httpWorker) serveStatusQuery(response http.ResponseWriter, request *http.Request) {
	w.abortIfUnreachable(request)
	w.services.mu.Lock()
	defer w.services.mu.Unlock()
	writeJSON(response, http.StatusOK, encodeHeartbeat(w.NextStatus(), w.address))
}

// abortIfUnreachable loses a request to an unreachable machine: it holds the
// connection until the caller gives up, then ends the handler.
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

// runHeartbeats reports to one controller after the other until one answers, and
// to that one from then on.
func (w *httpWorker) runHeartbeats(ctx context.Context) {
	nodes := w.services.nodeNames()
	client := &http.Client{Timeout: heartbeatTimeout}
	current := 0
	for ctx.Err() == nil {
		result := w.sendHeartbeat(client, nodes[current])
		pause := heartbeatRetryPause
		redirect, redirected := otherNodeIndex(nodes, result.redirect, current)
		switch {
		case result.accepted:
			pause = w.services.heartbeatInterval
		case redirected:
			current = redirect
			pause = redirectPause
		default:
			current = (current + 1) % len(nodes)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (r *FakeServices) nodeNames() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name := range r.NodeAddresses {
		names = append(names, name)
	}
	return names
}

// otherNodeIndex is a controller's index unless it is the current one.
func otherNodeIndex(nodes []string, name string, current int) (int, bool) {
	for i, node := range nodes {
		if node == name && i != current {
			return i, true
		}
	}
	return 0, false
}

// heartbeatResult is what became of a report.
type heartbeatResult struct {
	accepted bool
	redirect string // the controller that the worker should report to, if named
}

// heartbeatAnswerForm is the answer to a report: commands, or a redirection.
type heartbeatAnswerForm struct {
	FencingToken uint64        `json:"baton"`
	Commands     []commandForm `json:"dispatches"`
	Redirect     string        `json:"dispatcher"`
}

// sendHeartbeat sends a report to a controller and carries out the answer's commands.
func (w *httpWorker) sendHeartbeat(client *http.Client, node string) heartbeatResult {
	region := w.services
	var report cluster.HeartbeatStatus
	var sent cluster.Time
	var nodeAddr string
	var answerLost bool
	region.WithLock(func() {
		w.Advance(region.now())
		report = w.NextStatus()
		sent = region.now()
		nodeAddr = region.NodeAddresses[node]
		answerLost = region.UnreachableMachines[w.ID]
	})
	body, _ := json.Marshal(encodeHeartbeat(report, w.address))
	response, err := client.Post("http://"+nodeAddr+"/checkin", "application/json", bytes.NewReader(body))
	if err != nil {
		return heartbeatResult{}
	}
	defer response.Body.Close()
	var form heartbeatAnswerForm
	_ = json.NewDecoder(response.Body).Decode(&form)
	switch {
	case answerLost:
		return heartbeatResult{}
	case response.StatusCode == http.StatusMisdirectedRequest:
		return heartbeatResult{redirect: form.Redirect}
	case response.StatusCode != http.StatusOK:
		return heartbeatResult{}
	}
	answer := messages.HeartbeatResponse{FencingToken: cluster.FencingToken(form.FencingToken), Commands: decodeCommands(form.Commands)}
	region.WithLock(func() { w.HandleHeartbeatAnswer(report.Incarnation, sent, answer) })
	return heartbeatResult{accepted: true}
}
