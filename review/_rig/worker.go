package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of the worker of one machine. The world's lock guards it.
type worker struct {
	w        *world
	m        *machine
	listener net.Listener
	cond     *sync.Cond

	shift, stamp, baton uint64
	leaseFrom           time.Time // when the last answered report was sent
	tasks               map[string]*task
	images              map[string]bool
	recall              *float64
	recallAt            time.Time
	node                int
	gone, up            bool
	hung                bool
	hungAt              time.Time
	cut                 bool
	cutAt               time.Time
	noOrders            bool // commands of the controllers don't arrive
	changed             chan struct{}
	lastBatonChange     time.Time
	client              *http.Client
}

// task is an attempt on a worker.
type task struct {
	ID       string
	Attempt  uint64
	State    string
	Cause    string
	Stored   bool
	ReadyAt  time.Time
	EndsAt   time.Time
	FlushEnd time.Time
	job      *job
}

func (t *task) on() bool { return t.State == "running" || t.State == "flushing" }

func newWorker(w *world, m *machine, l net.Listener) *worker {
	wk := &worker{w: w, m: m, listener: l, shift: 1, tasks: map[string]*task{}, images: map[string]bool{}, changed: make(chan struct{}, 1)}
	wk.cond = sync.NewCond(&w.mu)
	wk.client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	return wk
}

// run serves the worker's address and sends its reports until the machine is gone.
func (wk *worker) run() {
	w := wk.w
	w.mu.Lock()
	wk.up, wk.leaseFrom = true, time.Now()
	wk.node = w.rng.Intn(max(len(w.nodes), 1))
	w.logf("worker: %s is up (%s, %s, spot %v)", wk.m.ID, wk.m.Type, wk.m.Zone, wk.m.Spot)
	w.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", wk.orders)
	mux.HandleFunc("GET /inspect", wk.inspect)
	server := &http.Server{Handler: mux, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connTimeKey{}, connInfo{time.Now(), c})
	}}
	go func() { _ = server.Serve(wk.listener) }()
	wk.reports()
	_ = server.Close()
}

// vanish takes the machine and all that is on it away. The caller holds the lock.
func (wk *worker) vanish() {
	wk.gone = true
	for _, t := range wk.tasks {
		if t.on() {
			wk.w.logf("task: %s %d is gone with %s", t.ID, t.Attempt, wk.m.ID)
		}
	}
	wk.tasks = map[string]*task{}
	wk.cond.Broadcast()
}

func (wk *worker) setHung(hung bool) {
	if hung == wk.hung || wk.gone {
		return
	}
	wk.hung = hung
	if hung {
		wk.hungAt = time.Now()
		wk.w.logf("worker: %s hangs", wk.m.ID)
		return
	}
	wk.w.logf("worker: %s goes on", wk.m.ID)
	for _, t := range wk.tasks { // a hanging machine does not execute its tasks
		d := time.Since(wk.hungAt)
		t.ReadyAt, t.EndsAt, t.FlushEnd = t.ReadyAt.Add(d), t.EndsAt.Add(d), t.FlushEnd.Add(d)
	}
	wk.checkLease()
	wk.cond.Broadcast()
}

func (wk *worker) setCut(cut bool) {
	wk.cut = cut
	wk.cutAt = time.Now()
	wk.w.logf("worker: %s cut %v", wk.m.ID, cut)
	wk.cond.Broadcast()
}

func (wk *worker) checkLease() {
	if !wk.up || time.Since(wk.leaseFrom).Seconds() <= wk.w.site.LeaseS {
		return
	}
	wk.w.logf("worker: %s lease expired, shift %d ends with %d tasks", wk.m.ID, wk.shift, len(wk.tasks))
	wk.shift++
	wk.leaseFrom = time.Now()
	wk.tasks = map[string]*task{}
	wk.change()
}

func (wk *worker) change() {
	select {
	case wk.changed <- struct{}{}:
	default:
	}
}

// advance lets the tasks go on. The caller holds the lock.
func (wk *worker) advance() {
	if wk.gone || wk.hung || !wk.up {
		return
	}
	wk.checkLease()
	now := time.Now()
	for _, t := range wk.sorted() {
		switch {
		case t.State == "fetching" && !now.Before(t.ReadyAt):
			wk.images[t.job.Image] = true
			if wk.w.done[t.ID] {
				wk.end(t, "done", false)
				continue
			}
			t.State, t.EndsAt = "running", now.Add(t.job.run)
			wk.w.taskStarts(wk, t)
			wk.change()
		case t.State == "running" && t.job.fails:
			wk.end(t, "error", false)
		case t.State == "running" && !now.Before(t.EndsAt):
			wk.w.done[t.ID] = true
			t.job.doneTasks++
			t.job.lastDone = now
			wk.end(t, "done", false)
		case t.State == "flushing" && !now.Before(t.FlushEnd):
			wk.end(t, "stopped", true)
		}
	}
}

func (wk *worker) end(t *task, cause string, stored bool) {
	t.State, t.Cause, t.Stored = "ended", cause, stored
	wk.w.logf("task: %s %d ended on %s: %s", t.ID, t.Attempt, wk.m.ID, cause)
	wk.change()
}

func (wk *worker) sorted() []*task {
	var all []*task
	for _, t := range wk.tasks {
		all = append(all, t)
	}
	sort.Slice(all, func(i, k int) bool {
		return all[i].ID < all[k].ID || all[i].ID == all[k].ID && all[i].Attempt < all[k].Attempt
	})
	return all
}

func attemptKey(id string, attempt uint64) string { return id + "@" + strconv.FormatUint(attempt, 10) }

// report returns the worker's report. The caller holds the lock.
func (wk *worker) report() []byte {
	wk.stamp++
	legs := []map[string]any{}
	for _, t := range wk.sorted() {
		leg := map[string]any{"leg": t.ID, "boarding": t.Attempt, "status": t.State}
		if t.State == "ended" {
			leg["cause"] = t.Cause
			if t.Cause == "stopped" {
				leg["stored"] = t.Stored
			}
		}
		legs = append(legs, leg)
	}
	var recall any
	if wk.recall != nil {
		recall = max(0, *wk.recall-time.Since(wk.recallAt).Seconds())
	}
	text, _ := json.Marshal(struct {
		Coach   string           `json:"coach"`
		Addr    string           `json:"addr"`
		Fleet   string           `json:"fleet"`
		Yard    string           `json:"yard"`
		Standby bool             `json:"standby"`
		Shift   uint64           `json:"shift"`
		Stamp   uint64           `json:"stamp"`
		Baton   uint64           `json:"baton"`
		Recall  any              `json:"recallS"`
		Legs    []map[string]any `json:"legs"`
	}{wk.m.ID, wk.m.Addr, wk.m.Type, wk.m.Zone, wk.m.Spot, wk.shift, wk.stamp, wk.baton, recall, legs})
	if wk.w.reportAdd != "" {
		text = append(text[:len(text)-1], []byte(","+wk.w.reportAdd+"}")...)
	}
	return text
}

type dispatch struct {
	Verb     string  `json:"verb"`
	Leg      string  `json:"leg"`
	Boarding uint64  `json:"boarding"`
	LayoverS float64 `json:"layoverS"`
}

// execute executes commands in order. The caller holds the lock.
func (wk *worker) execute(dispatches []dispatch, by string) {
	w := wk.w
	for _, d := range dispatches {
		key := attemptKey(d.Leg, d.Boarding)
		t := wk.tasks[key]
		w.logf("worker: %s executes %s %s %d by %s", wk.m.ID, d.Verb, d.Leg, d.Boarding, by)
		switch d.Verb {
		case "start":
			if t == nil {
				wk.begin(key, d)
			}
		case "halt":
			if t == nil || t.State == "ended" {
				continue
			}
			switch {
			case t.State == "running" && t.job.waypoint > 0 && d.LayoverS >= t.job.stow:
				t.State, t.FlushEnd = "flushing", time.Now().Add(time.Duration(t.job.stow*float64(time.Second)))
				wk.change()
			case t.State == "flushing" && d.LayoverS > 0:
			default:
				wk.end(t, "stopped", false)
			}
		case "reap":
			if t != nil && t.State == "ended" {
				delete(wk.tasks, key)
				wk.change()
			}
		}
	}
	wk.advance()
}

func (wk *worker) begin(key string, d dispatch) {
	w := wk.w
	t := &task{ID: d.Leg, Attempt: d.Boarding, State: "fetching"}
	wk.tasks[key] = t
	defer wk.change()
	id, index, _ := strings.Cut(d.Leg, "/")
	j := w.jobs[id]
	n, err := strconv.Atoi(index)
	if j == nil || err != nil || n >= j.Legs || !j.submitted {
		t.State, t.Cause = "ended", "no_such"
		t.job = &job{}
		if j == nil || !j.submitted {
			w.breaks("invented", "%s got a start of %s, which nobody submitted", wk.m.ID, d.Leg)
		}
		return
	}
	t.job = j
	var cpu, mem float64
	for _, o := range wk.tasks {
		if o != t && o.State != "ended" {
			cpu += o.job.CPU
			mem += o.job.Memory
			if o.ID == t.ID {
				t.State, t.Cause = "ended", "busy"
				return
			}
		}
	}
	mt := w.typeOf(wk.m.Type)
	if cpu+j.CPU > mt.CPU+1e-9 || mem+j.Memory > mt.Memory+1e-9 {
		t.State, t.Cause = "ended", "full"
		return
	}
	t.ReadyAt = time.Now()
	if !wk.images[j.Image] {
		t.ReadyAt = t.ReadyAt.Add(w.fetchFor())
		for _, o := range wk.tasks {
			if o != t && o.State == "fetching" && o.job.Image == j.Image {
				t.ReadyAt = o.ReadyAt
			}
		}
	}
}

// arrives waits while the machine hangs or is cut off. It returns false if the request never arrives.
func (wk *worker) arrives(r *http.Request) bool {
	info, _ := r.Context().Value(connTimeKey{}).(connInfo)
	for !wk.gone && (wk.hung || wk.cut || wk.noOrders) {
		if wk.noOrders || wk.cut && info.at.After(wk.cutAt) {
			return false
		}
		wk.cond.Wait()
	}
	return !wk.gone
}

func (wk *worker) hangUp(r *http.Request) {
	wk.w.mu.Unlock()
	<-r.Context().Done()
	wk.w.mu.Lock()
	panic(http.ErrAbortHandler)
}

func (wk *worker) orders(rw http.ResponseWriter, r *http.Request) {
	body := readAll(r, 1<<20)
	w := wk.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if !wk.arrives(r) {
		wk.hangUp(r)
	}
	wk.advance()
	if len(body) > 64<<10 {
		w.breaks("size", "%s got commands of %d bytes", wk.m.ID, len(body))
	}
	var b struct {
		Baton, Shift *uint64
		Dispatches   []dispatch
	}
	if json.Unmarshal(body, &b) != nil || b.Baton == nil || b.Shift == nil {
		writeJSON(rw, 400, map[string]any{"error": "malformed"})
		return
	}
	if *b.Baton < wk.baton || *b.Shift != wk.shift {
		w.logf("worker: %s refuses orders %s (baton %d, shift %d)", wk.m.ID, body, wk.baton, wk.shift)
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(409)
		_, _ = rw.Write(wk.report())
		return
	}
	if w.store.replay && r != nil && time.Now().UnixNano()%4 == 0 {
		time.AfterFunc(time.Duration(1+time.Now().UnixNano()%40)*time.Second, func() {
			late, _ := http.NewRequest("POST", "/orders", bytes.NewReader(body))
			w.logf("worker: %s gets a late copy of orders", wk.m.ID)
			if !wk.gone {
				wk.orders(httptest.NewRecorder(), late)
			}
		})
	}
	wk.sees(*b.Baton)
	wk.execute(b.Dispatches, "orders with "+strconv.FormatUint(*b.Baton, 10))
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(wk.report())
}

func (wk *worker) sees(baton uint64) {
	if baton > wk.baton {
		wk.baton = baton
		if time.Since(wk.lastBatonChange).Seconds() > wk.w.site.LeaseS/2 {
			wk.lastBatonChange = time.Now()
			wk.change()
		}
	}
}

func (wk *worker) inspect(rw http.ResponseWriter, r *http.Request) {
	w := wk.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if !wk.arrives(r) {
		wk.hangUp(r)
	}
	wk.advance()
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(wk.report())
}

// reports sends the worker's reports until the machine is gone.
func (wk *worker) reports() {
	w := wk.w
	r := rand.New(rand.NewSource(time.Now().UnixNano()))
	last := time.Time{}
	for {
		w.mu.Lock()
		for wk.hung && !wk.gone {
			wk.cond.Wait()
		}
		if wk.gone {
			w.mu.Unlock()
			return
		}
		wk.advance()
		body, shift, node, cut := wk.report(), wk.shift, w.nodes[wk.node], wk.cut
		w.mu.Unlock()
		sent := time.Now()
		delay, next := wk.send(body, shift, node, cut, sent, r)
		last = sent
		w.mu.Lock()
		wk.node = next
		w.mu.Unlock()
		if delay < 0 { // answered: the next report is due after the interval, or on a change
			interval := time.Duration(w.site.ReportS * (0.75 + r.Float64()/2) * float64(time.Second))
			timer := time.NewTimer(time.Until(last.Add(interval)))
			select {
			case <-timer.C:
			case <-wk.changed:
				time.Sleep(time.Until(last.Add(500 * time.Millisecond)))
			case <-w.stopped:
				timer.Stop()
				return
			}
			timer.Stop()
			continue
		}
		select {
		case <-time.After(delay):
		case <-w.stopped:
			return
		}
	}
}

// send sends a report. It returns the delay before the next one, or a negative delay if the
// report was answered, and the node for the next one.
func (wk *worker) send(body []byte, shift uint64, n *node, cut bool, sent time.Time, r *rand.Rand) (time.Duration, int) {
	w := wk.w
	other := (n.index + 1) % len(w.nodes)
	if cut {
		time.Sleep(4 * time.Second)
		return time.Second, other
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+n.workerProxy.addr+"/checkin", bytes.NewReader(body))
	if err != nil {
		return time.Second, other
	}
	request.Header.Set("Content-Type", "application/json")
	if w.store.replay && r.Intn(20) == 0 {
		late := r.Intn(20000)
		to := w.nodes[r.Intn(len(w.nodes))]
		time.AfterFunc(time.Duration(late)*time.Millisecond, func() {
			if response, err := http.Post("http://"+to.listen+"/checkin", "application/json", bytes.NewReader(body)); err == nil {
				_ = response.Body.Close()
			}
		})
	}
	response, err := wk.client.Do(request)
	if err != nil {
		return time.Second, other
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return time.Second, other
	}
	var b struct {
		Baton      *uint64
		Dispatches []dispatch
		Dispatcher string
	}
	_ = json.Unmarshal(text, &b)
	w.mu.Lock()
	defer w.mu.Unlock()
	for wk.hung && !wk.gone {
		wk.cond.Wait()
	}
	if wk.gone || time.Since(sent) > 4*time.Second || wk.cut {
		return time.Second, other
	}
	switch response.StatusCode {
	case 200:
		wk.advance()
		if wk.shift != shift || b.Baton == nil || *b.Baton < wk.baton {
			w.logf("worker: %s drops an answer of %s: %s (baton %d)", wk.m.ID, n.name, text, wk.baton)
			return -1, n.index
		}
		wk.sees(*b.Baton)
		wk.leaseFrom = sent
		wk.execute(b.Dispatches, n.name)
		return -1, n.index
	case 421:
		for _, o := range w.nodes {
			if o.name == b.Dispatcher && o != n {
				return time.Duration(r.Intn(500)) * time.Millisecond, o.index
			}
		}
	}
	return time.Second, other
}
