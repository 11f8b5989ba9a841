package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"stairrelay/internal/core"
)

const (
	// checkinTimeout bounds a report's call, checkinRetry is the pause after one
	// that failed, and redirectPause the one after a redirection.
	checkinTimeout = 4 * time.Second
	checkinRetry   = time.Second
	redirectPause  = 10 * time.Millisecond
)

// regionWorker is a worker that is served over HTTP. The region's lock guards it.
type regionWorker struct {
	*Worker
	region *Region
	addr   string
	gone   bool // its machine has been returned
	cancel context.CancelFunc
}

// startWorker serves a machine's worker and lets it report.
func (r *Region) startWorker(machine core.Listed) {
	ctx, cancel := context.WithCancel(r.ctx)
	worker := &regionWorker{Worker: r.newModel(machine), region: r, cancel: cancel}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", worker.serveOrders)
	mux.HandleFunc("GET /inspect", worker.serveInspect)
	addr, err := r.serve(mux)
	if err != nil {
		cancel()
		return
	}
	worker.addr = addr
	r.Locked(func() {
		worker.Start(r.now())
		r.workers[machine.ID] = worker
	})
	go worker.reportUntil(ctx)
}

// newModel makes the model of a machine's worker.
func (r *Region) newModel(machine core.Listed) *Worker {
	model := &Worker{
		ID:      machine.ID,
		Type:    machine.Type,
		Zone:    machine.Zone,
		Spot:    machine.Spot,
		Fetch:   regionFetch,
		Lease:   r.lease,
		Done:    r.done,
		OnStart: r.noteStart,
	}
	model.Jobs = func(id core.JobID) (JobInfo, bool) {
		info, known := r.Jobs[id]
		return info, known
	}
	for _, t := range r.Cloud.Types {
		if t.Name == machine.Type {
			model.Cap = t.Cap
		}
	}
	return model
}

// noteStart counts a task's start, and notes when it runs elsewhere.
func (r *Region) noteStart(on *Worker, started *Task) {
	r.Starts[started.ID]++
	for _, other := range r.workers {
		task := other.Tasks[started.ID]
		if other.ID == on.ID || task == nil {
			continue
		}
		if task.State == core.Running || task.State == core.Saving {
			r.RanTwice = append(r.RanTwice, started.ID.String())
		}
	}
}

// end takes the worker's machine away.
func (w *regionWorker) end() {
	if w.gone {
		return
	}
	w.gone = true
	w.Tasks = nil
	w.cancel()
}

func (w *regionWorker) runsSomething() bool {
	if w.gone {
		return false
	}
	for _, task := range w.Tasks {
		if task.State == core.Running {
			return true
		}
	}
	return false
}

// ordersForm is a request with commands.
type ordersForm struct {
	Token    *uint64       `json:"baton"`
	Session  *uint64       `json:"shift"`
	Commands []commandForm `json:"dispatches"`
}

func (w *regionWorker) serveOrders(response http.ResponseWriter, request *http.Request) {
	var form ordersForm
	if !readJSON(response, request, &form) {
		return
	}
	if form.Token == nil || form.Session == nil {
		writeJSON(response, http.StatusBadRequest, nil)
		return
	}
	w.abortIfUnreachable(request)
	orders := core.Orders{
		Token:    core.Token(*form.Token),
		Session:  core.Session(*form.Session),
		Commands: decodeCommands(form.Commands),
	}
	w.region.mu.Lock()
	defer w.region.mu.Unlock()
	w.Advance(w.region.now())
	reply := w.Orders(orders)
	status := http.StatusOK
	if reply.Out == core.Conflict {
		status = http.StatusConflict
	}
	writeJSON(response, status, encodeReport(reply.Report, w.addr))
}

func (w *regionWorker) serveInspect(response http.ResponseWriter, request *http.Request) {
	w.abortIfUnreachable(request)
	w.region.mu.Lock()
	defer w.region.mu.Unlock()
	writeJSON(response, http.StatusOK, encodeReport(w.Report(), w.addr))
}

// abortIfUnreachable loses a request to an unreachable machine: it holds the
// connection until the caller gives up, then ends the handler.
func (w *regionWorker) abortIfUnreachable(request *http.Request) {
	if !w.unreachable() {
		return
	}
	select {
	case <-request.Context().Done():
	case <-w.region.ctx.Done():
	}
	panic(http.ErrAbortHandler)
}

func (w *regionWorker) unreachable() bool {
	w.region.mu.Lock()
	defer w.region.mu.Unlock()
	return w.region.Unreachable[w.ID]
}

// reportUntil reports to one controller after the other until one answers, and
// to that one from then on.
func (w *regionWorker) reportUntil(ctx context.Context) {
	nodes := w.region.nodeNames()
	client := &http.Client{Timeout: checkinTimeout}
	current := 0
	for ctx.Err() == nil {
		result := w.checkin(client, nodes[current])
		pause := checkinRetry
		redirect, redirected := indexOfOther(nodes, result.redirect, current)
		switch {
		case result.accepted:
			pause = w.region.reportEvery
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

func (r *Region) nodeNames() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name := range r.Nodes {
		names = append(names, name)
	}
	return names
}

// indexOfOther is a controller's index unless it is the current one.
func indexOfOther(nodes []string, name string, current int) (int, bool) {
	for i, node := range nodes {
		if node == name && i != current {
			return i, true
		}
	}
	return 0, false
}

// checkinResult is what became of a report.
type checkinResult struct {
	accepted bool
	redirect string // the controller that the worker should report to, if named
}

// checkinForm is the answer to a report: commands, or a redirection.
type checkinForm struct {
	Token    uint64        `json:"baton"`
	Commands []commandForm `json:"dispatches"`
	Redirect string        `json:"dispatcher"`
}

// checkin sends a report to a controller and carries out the answer's commands.
func (w *regionWorker) checkin(client *http.Client, node string) checkinResult {
	region := w.region
	var report core.Report
	var sent core.Time
	var nodeAddr string
	var answerLost bool
	region.Locked(func() {
		w.Advance(region.now())
		report = w.Report()
		sent = region.now()
		nodeAddr = region.Nodes[node]
		answerLost = region.Unreachable[w.ID]
	})
	body, _ := json.Marshal(encodeReport(report, w.addr))
	response, err := client.Post("http://"+nodeAddr+"/checkin", "application/json", bytes.NewReader(body))
	if err != nil {
		return checkinResult{}
	}
	defer response.Body.Close()
	var form checkinForm
	_ = json.NewDecoder(response.Body).Decode(&form)
	switch {
	case answerLost:
		return checkinResult{}
	case response.StatusCode == http.StatusMisdirectedRequest:
		return checkinResult{redirect: form.Redirect}
	case response.StatusCode != http.StatusOK:
		return checkinResult{}
	}
	answer := core.WorkerAnswer{Token: core.Token(form.Token), Commands: decodeCommands(form.Commands)}
	region.Locked(func() { w.Answered(report.Session, sent, answer) })
	return checkinResult{accepted: true}
}
