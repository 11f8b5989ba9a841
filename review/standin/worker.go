package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	reportTimeout  = 4 * time.Second
	nextNodeDelay  = time.Second
	minReportPause = 500 * time.Millisecond
	advancePeriod  = 20 * time.Millisecond
	maxLine        = 64 << 10
)

// jobInfo is what a worker needs to know of a job.
type jobInfo struct {
	VCPUs    float64 `json:"vcpus"`
	MemoryGB float64 `json:"memoryGb"`
	Legs     int     `json:"legs"`
	ID       string  `json:"id"`
	Crew     string  `json:"crew"`
	Bundle   string  `json:"bundle"`
	Waypoint float64 `json:"waypointS"`
	Stow     float64 `json:"stowS"`
	run      time.Duration
}

// leg is a task attempt on a machine.
type leg struct {
	Leg      string `json:"leg"`
	Boarding uint64 `json:"boarding"`
	Status   string `json:"status"`
	Cause    string `json:"cause,omitempty"`
	Stored   bool   `json:"stored,omitempty"`

	job   *jobInfo
	until time.Time // end of the present state
}

func (l *leg) live() bool { return l.Status != "ended" }

type report struct {
	Coach   string   `json:"coach"`
	Addr    string   `json:"addr"`
	Fleet   string   `json:"fleet"`
	Yard    string   `json:"yard"`
	Standby bool     `json:"standby"`
	Shift   uint64   `json:"shift"`
	Stamp   uint64   `json:"stamp"`
	Baton   uint64   `json:"baton"`
	RecallS *float64 `json:"recallS"`
	Legs    []*leg   `json:"legs"`
}

type dispatch struct {
	Verb     string  `json:"verb"`
	Leg      string  `json:"leg"`
	Boarding uint64  `json:"boarding"`
	LayoverS float64 `json:"layoverS"`
}

type orders struct {
	Baton      *uint64    `json:"baton"`
	Shift      *uint64    `json:"shift"`
	Dispatches []dispatch `json:"dispatches"`
	Dispatcher string     `json:"dispatcher"`
}

// world is what all workers share.
type world struct {
	mu       sync.Mutex // guards all workers
	record   *recorder
	ledger   *ledger
	jobs     map[string]*jobInfo
	doneLegs map[string]bool
	nodes    []node
	reportS  time.Duration
	lease    time.Duration
	fetch    time.Duration
	machines map[string]*worker
}

// node is a controller as workers and users know it.
type node struct{ name, addr string }

// worker is a stand-in of the worker of one machine.
type worker struct {
	world   *world
	machine coach
	fleet   fleet

	shift, stamp, baton uint64
	legs                []*leg
	images              map[string]time.Time // when the image is or will be there
	leaseFrom           time.Time
	changed             bool // since the last report
	gone                bool
	longestLine         int
	reportsRefused      int // with 400
	answered            int // reports that were answered and counted
	answeredBy          int // the controller that answered the last report
	stop                context.CancelFunc
	server              *http.Server
}

// startWorker starts the worker of a machine that has booted. The listener is that of the
// machine's address.
func (w *world) startWorker(machine coach, kind fleet, listener net.Listener) *worker {
	ctx, cancel := context.WithCancel(context.Background())
	started := &worker{
		world: w, machine: machine, fleet: kind, shift: 1, images: map[string]time.Time{},
		leaseFrom: time.Now(), stop: cancel,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", started.serveOrders)
	mux.HandleFunc("GET /inspect", started.serveInspect)
	started.server = &http.Server{Handler: mux, ReadHeaderTimeout: reportTimeout}
	w.mu.Lock()
	w.machines[machine.ID] = started
	w.mu.Unlock()
	go func() { _ = started.server.Serve(listener) }()
	go started.reportLoop(ctx)
	go started.advanceLoop(ctx)
	return started
}

// remove ends a machine and all that is on it.
func (w *world) remove(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	machine := w.machines[id]
	if machine == nil || machine.gone {
		return
	}
	machine.gone = true
	for _, l := range machine.legs {
		machine.leave(l, "machine gone")
	}
	machine.legs = nil
	machine.stop()
	_ = machine.server.Close()
}

func (m *worker) advanceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.world.mu.Lock()
		m.advance()
		m.world.mu.Unlock()
		time.Sleep(advancePeriod)
	}
}

// advance moves the tasks on and ends the session if the lease is over. The caller holds the lock.
func (m *worker) advance() {
	if m.gone {
		return
	}
	now := time.Now()
	if now.Sub(m.leaseFrom) > m.world.lease {
		for _, l := range m.legs {
			m.leave(l, "lease over")
		}
		m.world.record.event("lease_over", "coach", m.machine.ID, "shift", m.shift, "legs", len(m.legs))
		m.legs, m.leaseFrom, m.changed = nil, now, true
		m.shift++
		return
	}
	for _, l := range m.legs {
		if l.live() && !now.Before(l.until) {
			m.moveOn(l, now)
		}
	}
}

// moveOn moves a task to the state that follows its present one.
func (m *worker) moveOn(l *leg, now time.Time) {
	m.changed = true
	switch l.Status {
	case "fetching":
		l.Status, l.until = "running", now.Add(l.job.run)
		if m.world.doneLegs[l.Leg] {
			l.until = now
		}
		m.world.ledger.enter(m, l)
	case "running":
		m.world.doneLegs[l.Leg] = true
		m.end(l, "done")
	case "flushing":
		l.Stored = true
		m.end(l, "stopped")
	}
}

func (m *worker) end(l *leg, cause string) {
	m.leave(l, cause)
	l.Status, l.Cause = "ended", cause
	m.changed = true
}

// leave records that a task that ran is no longer on the machine.
func (m *worker) leave(l *leg, why string) {
	if l.Status == "running" || l.Status == "flushing" {
		m.world.ledger.leave(m, l, why)
	}
}

// report returns the next report. The caller holds the lock.
func (m *worker) report() report {
	m.stamp++
	legs := []*leg{}
	for _, l := range m.legs {
		copied := *l
		legs = append(legs, &copied)
	}
	return report{
		Coach: m.machine.ID, Addr: m.machine.Addr, Fleet: m.machine.Fleet, Yard: m.machine.Yard, Standby: m.machine.Standby,
		Shift: m.shift, Stamp: m.stamp, Baton: m.baton, Legs: legs,
	}
}

func (m *worker) execute(dispatches []dispatch, how string) {
	for _, d := range dispatches {
		m.world.record.event("command", "coach", m.machine.ID, "how", how, "verb", d.Verb, "leg", d.Leg, "boarding", d.Boarding, "baton", m.baton)
		switch d.Verb {
		case "start":
			m.start(d)
		case "halt":
			m.halt(d)
		case "reap":
			m.legs = slices.DeleteFunc(m.legs, func(l *leg) bool { return l.Leg == d.Leg && l.Boarding == d.Boarding && !l.live() })
		}
	}
}

func (m *worker) start(d dispatch) {
	busy := false
	var usedCPU, usedGB float64
	for _, l := range m.legs {
		if l.Leg == d.Leg && l.Boarding == d.Boarding {
			return
		}
		if l.live() {
			busy = busy || l.Leg == d.Leg
			usedCPU, usedGB = usedCPU+l.job.VCPUs, usedGB+l.job.MemoryGB
		}
	}
	job, index, known := m.world.find(d.Leg)
	started := &leg{Leg: d.Leg, Boarding: d.Boarding, Status: "ended", job: job}
	m.legs = append(m.legs, started)
	m.changed = true
	const rounding = 1e-6
	switch {
	case !known || index >= job.Legs:
		started.Cause = "no_such"
	case busy:
		started.Cause = "busy"
	case usedCPU+job.VCPUs > m.fleet.VCPUs+rounding || usedGB+job.MemoryGB > m.fleet.MemoryGB+rounding:
		started.Cause = "full"
	default:
		started.Status = "fetching"
		if m.images[job.Bundle].IsZero() {
			m.images[job.Bundle] = time.Now().Add(m.world.fetch)
		}
		started.until = m.images[job.Bundle]
		m.advance()
	}
}

func (m *worker) halt(d dispatch) {
	for _, l := range m.legs {
		if l.Leg != d.Leg || l.Boarding != d.Boarding || !l.live() {
			continue
		}
		canSave := l.job.Waypoint > 0 && d.LayoverS >= l.job.Stow
		switch {
		case l.Status == "running" && canSave:
			l.Status, l.until = "flushing", time.Now().Add(time.Duration(l.job.Stow*float64(time.Second)))
			m.changed = true
		case l.Status == "flushing" && d.LayoverS > 0:
		default:
			m.end(l, "stopped")
		}
	}
}

func (m *worker) serveOrders(w http.ResponseWriter, r *http.Request) {
	var body orders
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body) != nil || body.Baton == nil || body.Shift == nil {
		m.world.record.event("orders_refused", "coach", m.machine.ID, "length", r.ContentLength)
		answer(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	status, text := m.carryOut(&body, "orders")
	answer(w, status, text)
}

// carryOut executes direct commands and returns the answer.
func (m *worker) carryOut(body *orders, how string) (int, report) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.advance()
	if *body.Baton < m.baton || *body.Shift != m.shift {
		return http.StatusConflict, m.report()
	}
	if *body.Baton > m.baton {
		m.baton, m.changed = *body.Baton, true
	}
	m.execute(body.Dispatches, how)
	return http.StatusOK, m.report()
}

func (m *worker) serveInspect(w http.ResponseWriter, _ *http.Request) {
	m.world.mu.Lock()
	m.advance()
	text := m.report()
	m.world.mu.Unlock()
	answer(w, http.StatusOK, text)
}

// reportLoop sends reports, one at a time, to one node at a time.
func (m *worker) reportLoop(ctx context.Context) {
	client := &http.Client{Timeout: reportTimeout, Transport: &http.Transport{}}
	current := rand.IntN(len(m.world.nodes))
	for ctx.Err() == nil {
		sent := time.Now()
		next, moved, ok := m.sendReport(client, current)
		current = next
		switch {
		case !ok && !moved:
			sleep(ctx, nextNodeDelay)
		case moved:
			client.CloseIdleConnections()
			sleep(ctx, time.Duration(rand.IntN(500))*time.Millisecond)
		default:
			m.waitForReport(ctx, sent)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// waitForReport waits until the next report is due: after the interval, or earlier if
// something has changed.
func (m *worker) waitForReport(ctx context.Context, sent time.Time) {
	interval := time.Duration(float64(m.world.reportS) * (0.75 + rand.Float64()/2))
	for ctx.Err() == nil && time.Since(sent) < interval {
		m.world.mu.Lock()
		changed := m.changed
		m.world.mu.Unlock()
		if changed && time.Since(sent) >= minReportPause {
			return
		}
		time.Sleep(advancePeriod)
	}
}

// sendReport sends a report and executes the commands in the answer. It returns the node for
// the next report, whether the worker was sent there, and whether the report was answered.
func (m *worker) sendReport(client *http.Client, current int) (next int, moved, ok bool) {
	m.world.mu.Lock()
	m.advance()
	if m.gone {
		m.world.mu.Unlock()
		return current, false, true
	}
	text := m.report()
	m.changed = false
	sent := time.Now()
	m.world.mu.Unlock()
	next = (current + 1) % len(m.world.nodes)
	status, body, err := post(client, "http://"+m.world.nodes[current].addr+"/checkin", text)
	if err != nil {
		return next, false, false
	}
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	var reply orders
	malformed := json.Unmarshal(body, &reply) != nil
	switch {
	case status == http.StatusMisdirectedRequest && !malformed:
		to := slices.IndexFunc(m.world.nodes, func(n node) bool { return n.name == reply.Dispatcher })
		if to >= 0 && to != current {
			return to, true, false
		}
		return next, false, false
	case status == http.StatusBadRequest:
		m.reportsRefused++
		encoded, _ := json.Marshal(text)
		m.world.record.event("report_refused", "coach", m.machine.ID, "node", m.world.nodes[current].name, "length", len(encoded), "legs", len(text.Legs))
		return next, false, false
	case status != http.StatusOK:
		return next, false, false
	}
	if line := longestLine(body); line > m.longestLine {
		m.longestLine = line
	}
	if malformed || m.gone || text.Shift != m.shift || reply.Baton == nil || *reply.Baton < m.baton {
		return current, false, true
	}
	if *reply.Baton > m.baton {
		m.baton, m.changed = *reply.Baton, true
	}
	m.leaseFrom, m.answeredBy = sent, current
	m.answered++
	m.advance()
	m.execute(reply.Dispatches, "checkin")
	return current, false, true
}

// longestLine returns the length of the longest line of a body.
func longestLine(body []byte) int {
	longest := 0
	for _, line := range bytes.Split(body, []byte("\n")) {
		longest = max(longest, len(line))
	}
	return longest
}

// post sends a JSON body and returns the status and the body of the answer.
func post(client *http.Client, url string, body any) (int, []byte, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answered, err := io.ReadAll(response.Body)
	return response.StatusCode, answered, err
}
