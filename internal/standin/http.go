package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"stairrelay/internal/core"
)

// Region serves the models over HTTP on loopback, for tests of the real
// program: a state service, a cloud and the workers of its machines.
type Region struct {
	mu      sync.Mutex
	begun   time.Time
	State   *State
	Cloud   *Cloud
	Jobs    map[core.JobID]JobInfo
	Nodes   map[string]string       // controllers' addresses for workers, by name
	Down    bool                    // the state service answers 503
	Deaf    map[core.MachineID]bool // their reports arrive, nothing reaches them
	done    map[core.TaskID]bool
	workers map[core.MachineID]*httpWorker
	Starts  map[core.TaskID]int
	Twice   []string // tasks that started while on another machine
	lease   core.Time
	report  time.Duration
	closers []func()
	ctx     context.Context
}

type httpWorker struct {
	*Worker
	addr string
	gone bool
	stop context.CancelFunc
}

// NewRegion makes one; Close ends all that it started.
func NewRegion(types []core.MachineType, capacity map[string]int, report, lease time.Duration) *Region {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Region{begun: time.Now(), State: NewState(), Jobs: map[core.JobID]JobInfo{}, Nodes: map[string]string{}, Deaf: map[core.MachineID]bool{},
		done: map[core.TaskID]bool{}, workers: map[core.MachineID]*httpWorker{}, Starts: map[core.TaskID]int{},
		lease: core.Time(lease), report: report, ctx: ctx, closers: []func(){cancel}}
	r.Cloud = NewCloud(types, capacity, func() core.Time { return core.Time(200 * time.Millisecond) })
	return r
}

// Close ends the servers and workers.
func (r *Region) Close() {
	for _, f := range r.closers {
		f()
	}
}

// Locked runs fn while nothing else of the region moves.
func (r *Region) Locked(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn()
}

func (r *Region) now() core.Time { return core.Time(time.Since(r.begun)) }

func (r *Region) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	r.closers = append(r.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

type jsonItem struct {
	Key   string          `json:"key,omitempty"`
	Set   string          `json:"set,omitempty"`
	Drop  string          `json:"drop,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
	Mark  uint64          `json:"mark"`
}

// ServeState starts the state service.
func (r *Region) ServeState() (string, error) {
	mux := http.NewServeMux()
	up := func(h func(http.ResponseWriter, *http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			r.mu.Lock()
			down := r.Down
			r.mu.Unlock()
			if down {
				answer(w, 503, map[string]string{"error": "trouble"})
				return
			}
			h(w, q)
		}
	}
	mux.HandleFunc("POST /multi", up(func(w http.ResponseWriter, q *http.Request) {
		var in struct {
			When []struct {
				Key  string `json:"key"`
				Mark uint64 `json:"mark"`
			} `json:"when"`
			Then []jsonItem `json:"then"`
		}
		if json.NewDecoder(q.Body).Decode(&in) != nil {
			answer(w, 400, nil)
			return
		}
		var when []core.Cond
		var then []core.TxnOp
		for _, c := range in.When {
			when = append(when, core.Cond{Key: c.Key, Mark: core.Mark(c.Mark)})
		}
		for _, o := range in.Then {
			if o.Drop != "" {
				then = append(then, core.TxnOp{Key: o.Drop})
			} else {
				then = append(then, core.TxnOp{Key: o.Set, Value: o.Value})
			}
		}
		r.mu.Lock()
		res := r.State.Txn(when, then)
		r.mu.Unlock()
		if res.Out == core.Conflict {
			answer(w, 409, map[string]any{"failed": res.Failed, "epoch": res.Epoch})
			return
		}
		answer(w, 200, map[string]any{"epoch": res.Epoch})
	}))
	mux.HandleFunc("GET /keys/{key...}", up(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		g, epoch := r.State.Get(q.PathValue("key")), r.State.Epoch
		r.mu.Unlock()
		if g.Out == core.Missing {
			answer(w, 404, map[string]any{"epoch": epoch})
			return
		}
		answer(w, 200, jsonItem{Key: g.KV.Key, Value: g.KV.Value, Mark: uint64(g.KV.Mark)})
	}))
	mux.HandleFunc("GET /keys", up(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		l := r.State.List(q.URL.Query().Get("prefix"))
		r.mu.Unlock()
		page, _ := strconv.Atoi(q.URL.Query().Get("page"))
		since := q.URL.Query().Get("since")
		items, more := []jsonItem{}, false
		for _, kv := range l.Items {
			if kv.Key <= since {
				continue
			}
			if len(items) == page {
				more = true
				break
			}
			items = append(items, jsonItem{Key: kv.Key, Value: kv.Value, Mark: uint64(kv.Mark)})
		}
		answer(w, 200, map[string]any{"items": items, "truncated": more, "epoch": l.Epoch})
	}))
	mux.HandleFunc("GET /watch", up(func(w http.ResponseWriter, q *http.Request) {
		since, _ := strconv.ParseUint(q.URL.Query().Get("since"), 10, 64)
		wait, _ := strconv.Atoi(q.URL.Query().Get("blockMs"))
		until := time.Now().Add(time.Duration(wait) * time.Millisecond)
		for {
			r.mu.Lock()
			c := r.State.Changes(q.URL.Query().Get("prefix"), core.Epoch(since))
			r.mu.Unlock()
			if len(c.Items) > 0 || time.Now().After(until) {
				events := []jsonItem{}
				for _, kv := range c.Items {
					if kv.Value == nil {
						events = append(events, jsonItem{Drop: kv.Key, Mark: uint64(kv.Mark)})
					} else {
						events = append(events, jsonItem{Set: kv.Key, Value: kv.Value, Mark: uint64(kv.Mark)})
					}
				}
				answer(w, 200, map[string]any{"epoch": c.Epoch, "events": events})
				return
			}
			select {
			case <-q.Context().Done():
				return
			case <-r.ctx.Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}))
	return r.serve(mux)
}

// ServeCloud starts the cloud.
func (r *Region) ServeCloud() (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) {
		out := []map[string]any{}
		for _, t := range r.Cloud.Types {
			out = append(out, map[string]any{"name": t.Name, "vcpus": float64(t.Cap.CPU) / 1e6, "accelerators": 0, "memoryGb": float64(t.Cap.Mem) / 1e6,
				"cacheGb": t.CacheGB, "pullGbPerS": t.FetchGBs, "rate": t.Price, "spotPrice": t.SpotPrice, "bootS": t.BootS, "yards": t.Zones})
		}
		answer(w, 200, map[string]any{"fleets": out})
	})
	mux.HandleFunc("POST /rentals", func(w http.ResponseWriter, q *http.Request) {
		var in struct {
			Name  string `json:"charter"`
			Type  string `json:"fleet"`
			Zone  string `json:"yard"`
			Spot  bool   `json:"standby"`
			Count int    `json:"count"`
		}
		if json.NewDecoder(q.Body).Decode(&in) != nil || in.Name == "" || in.Count < 1 || in.Count > 50 {
			answer(w, 400, nil)
			return
		}
		r.mu.Lock()
		res := r.Cloud.Rent(r.now(), core.CloudRent{Name: in.Name, Type: in.Type, Zone: in.Zone, Spot: in.Spot, Count: in.Count})
		r.mu.Unlock()
		if res.Out != core.OK {
			answer(w, 503, map[string]string{"error": "no capacity"})
			return
		}
		answer(w, 200, map[string]any{"coaches": res.IDs})
	})
	mux.HandleFunc("POST /rentals/return", func(w http.ResponseWriter, q *http.Request) {
		var in struct {
			IDs []core.MachineID `json:"coaches"`
		}
		if json.NewDecoder(q.Body).Decode(&in) != nil {
			answer(w, 400, nil)
			return
		}
		r.mu.Lock()
		for _, id := range in.IDs {
			r.Cloud.Take(id)
			if x := r.workers[id]; x != nil && !x.gone {
				x.gone, x.Tasks = true, nil
				x.stop()
			}
		}
		r.mu.Unlock()
		answer(w, 200, map[string]any{})
	})
	mux.HandleFunc("GET /rentals", func(w http.ResponseWriter, _ *http.Request) {
		r.mu.Lock()
		out := []map[string]any{}
		for _, l := range r.Cloud.List(r.now()) {
			addr := ""
			if x := r.workers[l.ID]; x != nil {
				addr = x.addr
			}
			out = append(out, map[string]any{"id": l.ID, "addr": addr, "fleet": l.Type, "yard": l.Zone, "standby": l.Spot, "status": l.Status, "ageS": l.AgeS})
		}
		r.mu.Unlock()
		answer(w, 200, map[string]any{"coaches": out, "truncated": false})
	})
	go r.bootLoop()
	return r.serve(mux)
}

func (r *Region) bootLoop() {
	for r.ctx.Err() == nil {
		r.mu.Lock()
		up := r.Cloud.Up(r.now())
		r.mu.Unlock()
		for _, l := range up {
			r.startWorker(l)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Add puts a running machine into the region.
func (r *Region) Add(typ, zone string, spot bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Cloud.Capacity[Slot(typ, zone, spot)]++
	r.Cloud.Rent(r.now(), core.CloudRent{Name: "initial-" + strconv.Itoa(r.Cloud.next), Type: typ, Zone: zone, Spot: spot, Count: 1})
}

func (r *Region) startWorker(l core.Listed) {
	ctx, cancel := context.WithCancel(r.ctx)
	x := &httpWorker{stop: cancel, Worker: &Worker{ID: l.ID, Type: l.Type, Zone: l.Zone, Spot: l.Spot, Fetch: core.Time(100 * time.Millisecond), Lease: r.lease, Done: r.done,
		Jobs: func(id core.JobID) (JobInfo, bool) { j, ok := r.Jobs[id]; return j, ok }}}
	for _, t := range r.Cloud.Types {
		if t.Name == l.Type {
			x.Cap = t.Cap
		}
	}
	x.OnStart = func(on *Worker, t *Task) {
		r.Starts[t.ID]++
		for _, o := range r.workers {
			if b := o.Tasks[t.ID]; o.ID != on.ID && b != nil && b.State != core.Ended && b.State != core.Fetching {
				r.Twice = append(r.Twice, t.ID.String())
			}
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, q *http.Request) {
		var in struct {
			Token    *uint64       `json:"baton"`
			Session  *uint64       `json:"shift"`
			Commands []jsonCommand `json:"dispatches"`
		}
		if json.NewDecoder(q.Body).Decode(&in) != nil || in.Token == nil || in.Session == nil {
			answer(w, 400, nil)
			return
		}
		if r.unheard(q, x.ID) {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		x.Advance(r.now())
		res := x.Orders(core.Orders{Token: core.Token(*in.Token), Session: core.Session(*in.Session), Commands: commandsOf(in.Commands)})
		status := 200
		if res.Out == core.Conflict {
			status = 409
		}
		answer(w, status, reportOf(res.Report, x.addr))
	})
	mux.HandleFunc("GET /inspect", func(w http.ResponseWriter, q *http.Request) {
		if r.unheard(q, x.ID) {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		answer(w, 200, reportOf(x.Report(), x.addr))
	})
	addr, err := r.serve(mux)
	if err != nil {
		cancel()
		return
	}
	x.addr = addr
	r.mu.Lock()
	x.Start(r.now())
	r.workers[l.ID] = x
	r.mu.Unlock()
	go r.reports(ctx, x)
}

// unheard tells whether a request to a machine is lost; it then holds the
// connection until the caller gives up.
func (r *Region) unheard(q *http.Request, id core.MachineID) bool {
	r.mu.Lock()
	deaf := r.Deaf[id]
	r.mu.Unlock()
	if deaf {
		select {
		case <-q.Context().Done():
		case <-r.ctx.Done():
		}
		panic(http.ErrAbortHandler)
	}
	return false
}

// Running lists the machines that run something.
func (r *Region) Running() []core.MachineID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []core.MachineID
	for id, x := range r.workers {
		for _, t := range x.Tasks {
			if !x.gone && t.State == core.Running {
				ids = append(ids, id)
				break
			}
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

type jsonCommand struct {
	Verb    string  `json:"verb"`
	Task    string  `json:"leg"`
	Attempt uint64  `json:"boarding"`
	Grace   float64 `json:"layoverS"`
}

func commandsOf(in []jsonCommand) []core.Command {
	verbs := map[string]core.Verb{"start": core.Start, "halt": core.Stop, "reap": core.Forget}
	var out []core.Command
	for _, c := range in {
		t, _ := core.ParseTask(c.Task)
		out = append(out, core.Command{Verb: verbs[c.Verb], Task: t, Attempt: core.Attempt(c.Attempt), Grace: c.Grace})
	}
	return out
}

func reportOf(rep core.Report, addr string) map[string]any {
	states := [...]string{"fetching", "running", "flushing", "ended"}
	causes := [...]string{"", "done", "stopped", "error", "full", "busy", "no_such"}
	legs := []map[string]any{}
	for _, t := range rep.Tasks {
		leg := map[string]any{"leg": t.Task.String(), "boarding": t.Attempt, "status": states[t.State]}
		if t.State == core.Ended {
			leg["cause"], leg["stored"] = causes[t.Cause], t.Saved
		}
		legs = append(legs, leg)
	}
	return map[string]any{"coach": rep.Machine, "addr": addr, "fleet": rep.Type, "yard": rep.Zone, "standby": rep.Spot,
		"shift": rep.Session, "stamp": rep.Stamp, "baton": rep.Token, "recallS": nil, "legs": legs}
}

func (r *Region) reports(ctx context.Context, x *httpWorker) {
	var names []string
	r.mu.Lock()
	for n := range r.Nodes {
		names = append(names, n)
	}
	r.mu.Unlock()
	at := 0
	client := &http.Client{Timeout: 4 * time.Second}
	for ctx.Err() == nil {
		r.mu.Lock()
		x.Advance(r.now())
		rep, sent, addr, deaf := x.Report(), r.now(), r.Nodes[names[at]], r.Deaf[x.ID]
		r.mu.Unlock()
		body, _ := json.Marshal(reportOf(rep, x.addr))
		pause := time.Second
		resp, err := client.Post("http://"+addr+"/checkin", "application/json", bytes.NewReader(body))
		moved := false
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			var in struct {
				Token    uint64        `json:"baton"`
				Commands []jsonCommand `json:"dispatches"`
				To       string        `json:"dispatcher"`
			}
			_ = json.Unmarshal(text, &in)
			if deaf { // the answer was lost: as after a time-out
				resp.StatusCode = 0
			}
			if resp.StatusCode == 200 {
				r.mu.Lock()
				x.Answered(rep.Session, sent, core.WorkerAnswer{Token: core.Token(in.Token), Commands: commandsOf(in.Commands)})
				r.mu.Unlock()
				pause, moved = r.report, true
			}
			for i, n := range names {
				if resp.StatusCode == 421 && n == in.To && i != at {
					at, pause, moved = i, 10*time.Millisecond, true
					break
				}
			}
		}
		if !moved {
			at = (at + 1) % len(names)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// Submission is a submission's body.
func Submission(id, team string, tasks int) string {
	b, _ := json.Marshal(map[string]any{"id": id, "route": "c", "crew": team, "shape": "sweep", "urgency": "normal", "legs": tasks,
		"vcpus": 1, "accelerators": 0, "memoryGb": 1, "bundle": "img", "sizeGb": 0.1, "samePlace": false, "scatter": false,
		"standby": true, "runtimeS": 1, "waypointS": 0, "stowS": 0})
	return strings.TrimSpace(string(b))
}
