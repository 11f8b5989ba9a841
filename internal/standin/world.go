package standin

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime/metrics"
	"sort"
	"time"

	"stairrelay/internal/core"
)

const (
	second = core.Time(time.Second)
	milli  = core.Time(time.Millisecond)
)

// World runs several cores against the models in simulated time, with a
// network that delays, loses and delivers late, and checks the rules.
type World struct {
	Now     core.Time
	Rand    *rand.Rand
	State   *State
	Cloud   *Cloud
	Nodes   []*Node
	Workers map[core.MachineID]*Live
	Jobs    map[core.JobID]*Job
	Broken  []string
	Late    bool           // messages over a cut may arrive minutes late
	Copies  float64        // the chance that a report is delivered again, up to several leases later
	Calmed  core.Time      // all troubles are over from then on; 0: not judged
	Faults  map[string]int // troubles that were seen to happen, by kind
	Calm    bool           // nothing is lost or slow but what a test asks for
	Down    core.Time      // the state service is out until then
	Slow    core.Time      // added to every answer of the state service
	CloudDn core.Time
	cfg     core.Config
	done    map[core.TaskID]bool
	events  events
	seq     uint64
	boots   int
	live    []core.MachineID // sorted; nil: to be worked out anew
	Log     func(string)
	Spent   time.Duration // real time that the cores took
	Steps   int           // events that they were given
	Count   bool          // count the cores' allocations, which takes time itself
	Allocs  uint64        // counted
}

// Node is one controller.
type Node struct {
	ID        core.NodeID
	core      *core.Core
	up        bool
	gen       int // raised at every end: answers to an earlier life are lost
	started   core.Time
	waiting   map[core.ReqID]func(core.Respond)
	nextReq   core.ReqID
	wake      core.Time
	StoreCut  core.Time // cut until then
	WorkerCut core.Time
	PeerCut   core.Time
	Refused   core.Time // gets 503 from the store until then
	NoPeers   core.Time // its connections with the others are refused until then
	Frozen    core.Time // stands still until then, its clocks run on
}

// Live is a running worker with its habits.
type Live struct {
	*Worker
	node    int
	hang    core.Time
	cut     core.Time
	deaf    core.Time // its reports arrive, nothing reaches it until then
	gone    bool
	busy    bool
	again   bool
	lastRep core.Time
}

// Job is a submitted job with all that its user was told.
type Job struct {
	Spec        core.JobSpec
	Info        JobInfo
	Accepted    bool
	Told        core.Status
	AskedCancel bool
	CancelTold  core.Time
	Submitted   core.Time
	Began       core.Time // when its first task started; 0: not yet
	finalAt     core.Time
	answeredAt  core.Time // when a question about it was last answered
}

type event struct {
	at  core.Time
	seq uint64
	fn  func()
}
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	o := *h
	x := o[len(o)-1]
	*h = o[:len(o)-1]
	return x
}

// NewWorld makes a cluster whose controllers all start at once.
func NewWorld(seed uint64, cfg core.Config, cloud *Cloud) *World {
	w := &World{Rand: rand.New(rand.NewPCG(seed, 1)), State: NewState(), Cloud: cloud, Workers: map[core.MachineID]*Live{},
		Jobs: map[core.JobID]*Job{}, done: map[core.TaskID]bool{}, Faults: map[string]int{}, cfg: cfg, Log: func(string) {}}
	for _, id := range cfg.Nodes {
		w.Nodes = append(w.Nodes, &Node{ID: id})
	}
	for _, n := range w.Nodes {
		w.Boot(n)
	}
	w.every(500*milli, w.sweep)
	return w
}

// After runs fn later.
func (w *World) After(d core.Time, fn func()) {
	w.seq++
	heap.Push(&w.events, event{w.Now + max(d, 0), w.seq, fn})
}

func (w *World) every(d core.Time, fn func()) {
	w.After(d, func() { fn(); w.every(d, fn) })
}

// Run plays until a time.
func (w *World) Run(until core.Time) {
	for len(w.events) > 0 && w.events[0].at <= until && len(w.Broken) == 0 {
		e := heap.Pop(&w.events).(event)
		w.Now = e.at
		e.fn()
	}
}

func (w *World) broke(format string, args ...any) {
	w.Broken = append(w.Broken, fmt.Sprintf("%v: ", time.Duration(w.Now))+fmt.Sprintf(format, args...))
}

// Chance is true with probability p.
func (w *World) Chance(p float64) bool { return !w.Calm && w.Rand.Float64() < p }

// Between draws a time.
func (w *World) Between(a, b core.Time) core.Time { return a + core.Time(w.Rand.Int64N(int64(b-a)+1)) }

// Boot starts a controller's process.
func (w *World) Boot(n *Node) {
	if n.up {
		return
	}
	w.boots++
	cfg := w.cfg
	cfg.Self, cfg.Boot = n.ID, fmt.Sprintf("b%d", w.boots)
	n.core, n.up, n.started = core.New(cfg), true, w.Now
	n.waiting, n.wake = map[core.ReqID]func(core.Respond){}, 0
	w.step(n, core.Tick{})
}

// Kill ends a controller's process without a signal.
func (w *World) Kill(n *Node) {
	n.up = false
	n.gen++
	for _, id := range sortedReqs(n.waiting) {
		n.waiting[id](core.Respond{Status: 0})
	}
	n.waiting = nil
}

func sortedReqs(m map[core.ReqID]func(core.Respond)) []core.ReqID {
	var l []core.ReqID
	for k := range m {
		l = append(l, k)
	}
	sort.Slice(l, func(i, j int) bool { return l[i] < l[j] })
	return l
}

func (w *World) step(n *Node, ev core.Event) {
	if w.Now < n.Frozen { // what comes in waits, and is all taken up at once
		gen := n.gen
		w.After(n.Frozen-w.Now, func() {
			if n.up && n.gen == gen {
				w.step(n, ev)
			}
		})
		return
	}
	w.Steps++
	before := w.allocs()
	begun := time.Now()
	effects := n.core.Step(w.Now-n.started, core.Wall(w.Now/milli), ev)
	w.Spent += time.Since(begun)
	w.Allocs += w.allocs() - before
	for _, f := range effects {
		w.effect(n, f)
	}
	if at, ok := n.core.NextWake(); ok {
		at += n.started
		if n.wake <= w.Now || at < n.wake {
			n.wake = max(at, w.Now)
			gen, when := n.gen, n.wake
			w.After(at-w.Now+w.Between(0, milli), func() {
				if n.gen == gen && n.up && n.wake == when {
					n.wake = 0
					w.step(n, core.Tick{})
				}
			})
		}
	}
}

// allocs is how many objects the process has allocated so far, if that counts.
func (w *World) allocs() uint64 {
	if !w.Count {
		return 0
	}
	sample := []metrics.Sample{{Name: "/gc/heap/allocs:objects"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// Ask sends a request to a controller; fn gets status 0 when it can't be reached.
func (w *World) Ask(n *Node, ev func(core.ReqID) core.Event, fn func(core.Respond)) {
	w.After(w.Between(milli, 5*milli), func() {
		if !n.up {
			fn(core.Respond{})
			return
		}
		n.nextReq++
		id := n.nextReq
		n.waiting[id] = fn
		w.step(n, ev(id))
	})
}

// reply delivers an answer to the run of a process that asked; a later run
// never gets it.
func (w *World) reply(n *Node, gen int, id core.CallID, d core.Time, body any) {
	w.After(d, func() {
		if n.up && n.gen == gen {
			w.step(n, core.Reply{Call: id, Body: body})
		}
	})
}

func (w *World) delay() core.Time {
	if w.Chance(0.02) {
		return w.Between(50*milli, 400*milli)
	}
	return w.Between(milli, 8*milli)
}

// lateBy says when something sent over a cut arrives, if at all.
func (w *World) lateBy(until core.Time) (core.Time, bool) {
	if !w.Late || w.Chance(0.4) {
		return 0, false
	}
	return max(until-w.Now, 0) + w.Between(milli, 20*second), true
}

func (w *World) effect(n *Node, f core.Effect) {
	gen := n.gen
	switch f := f.(type) {
	case core.Respond:
		if fn := n.waiting[f.Req]; fn != nil {
			delete(n.waiting, f.Req)
			w.After(w.delay(), func() { fn(f) })
		}
	case core.StoreTxn:
		w.store(n, f.Call, core.TxnReply{Out: core.NotDone}, core.TxnReply{Out: core.Unknown}, func() any {
			r := w.State.Txn(f.When, f.Then)
			what := "writes"
			if r.Out != core.OK {
				what = "may not write"
			}
			for _, o := range f.Then {
				v := string(o.Value)
				if o.Value == nil {
					v = "(dropped)"
				}
				w.Log(fmt.Sprintf("%s %s %s@%d %s", n.ID, what, o.Key, r.Epoch, v))
			}
			return r
		})
	case core.StoreGet:
		w.store(n, f.Call, core.GetReply{Out: core.NotDone}, core.GetReply{Out: core.Unknown}, func() any { return w.State.Get(f.Key) })
	case core.StoreList:
		w.store(n, f.Call, core.ListReply{Out: core.NotDone}, core.ListReply{Out: core.Unknown}, func() any { return w.State.List(f.Prefix) })
	case core.StoreWatch:
		w.watch(n, gen, f, w.Now+f.Wait)
	case core.CloudTypes:
		if w.Now < w.CloudDn {
			w.reply(n, gen, f.Call, w.delay(), core.TypesReply{Out: core.NotDone})
			return
		}
		w.reply(n, gen, f.Call, w.delay(), core.TypesReply{Out: core.OK, Types: w.Cloud.Types})
	case core.CloudRent:
		if w.Now < w.CloudDn {
			w.reply(n, gen, f.Call, w.delay(), core.RentReply{Out: core.NotDone})
			return
		}
		if w.Chance(0.05) { // carried out late, the answer lost
			w.After(w.Between(second, 30*second), func() { w.Cloud.Rent(w.Now, f) })
			w.reply(n, gen, f.Call, 4*second, core.RentReply{Out: core.Unknown})
			return
		}
		w.reply(n, gen, f.Call, w.delay(), w.Cloud.Rent(w.Now, f))
	case core.CloudReturn:
		if w.Now < w.CloudDn {
			w.reply(n, gen, f.Call, w.delay(), core.ReturnReply{Out: core.Unknown})
			return
		}
		for _, id := range f.IDs {
			w.Remove(id)
		}
		w.reply(n, gen, f.Call, w.delay(), core.ReturnReply{Out: core.OK})
	case core.CloudList:
		if w.Now < w.CloudDn {
			w.reply(n, gen, f.Call, w.delay(), core.CloudListReply{Out: core.NotDone})
			return
		}
		items := w.Cloud.List(w.Now)
		w.reply(n, gen, f.Call, w.cfg.ListLag/2, core.CloudListReply{Out: core.OK, Items: items})
	case core.Orders:
		w.orders(n, f)
	case core.Inspect:
		l := w.Workers[core.MachineID(f.Addr)]
		if l == nil || l.gone || w.Now < max(n.WorkerCut, l.cut, l.hang, l.deaf) {
			w.reply(n, gen, f.Call, 2500*milli, core.OrdersReply{Out: core.Unknown})
			return
		}
		w.reply(n, gen, f.Call, w.delay(), core.OrdersReply{Out: core.OK, Report: l.Report()})
	case core.PeerCall:
		w.peerCall(n, f)
	case core.Log:
		if f.Text != "stats" && f.Text != "load" {
			w.Log(fmt.Sprintf("%s logs %s: %s %v", n.ID, f.Level, f.Text, f.Args))
		}
		if f.Level == "error" {
			w.broke("%s logs an error: %s %v", n.ID, f.Text, f.Args)
		}
	}
}

func (w *World) store(n *Node, id core.CallID, refused, unknown any, do func() any) {
	gen := n.gen
	switch {
	case w.Now < w.Down || w.Now < n.Refused:
		w.reply(n, gen, id, w.delay(), refused)
	case w.Now < n.StoreCut:
		if d, ok := w.lateBy(n.StoreCut); ok {
			w.After(d, func() { do() })
		}
		w.reply(n, gen, id, 1200*milli, unknown)
	case w.Chance(0.01): // lost on the way, or delivered late
		if d, ok := w.lateBy(w.Now); ok {
			w.After(d, func() { do() })
		}
		w.reply(n, gen, id, 1200*milli, unknown)
	default:
		w.After(w.delay(), func() {
			body := do()
			if w.Chance(0.005) { // carried out, the answer lost
				w.reply(n, gen, id, 1200*milli, unknown)
				return
			}
			w.reply(n, gen, id, w.delay()+w.Slow, body)
		})
	}
}

func (w *World) watch(n *Node, gen int, f core.StoreWatch, until core.Time) {
	w.After(w.Between(10*milli, 200*milli), func() {
		if !n.up || n.gen != gen {
			return
		}
		if w.Now >= w.Down && w.Now >= n.StoreCut && w.Now >= n.Refused {
			if r := w.State.Changes(f.Prefix, f.Since); len(r.Items) > 0 || w.Now > until {
				w.reply(n, gen, f.Call, 0, r)
				return
			}
		}
		w.watch(n, gen, f, until)
	})
}

func (w *World) peerCall(n *Node, f core.PeerCall) {
	to, gen := w.node(f.To), n.gen
	lost := core.PeerReply{Out: core.Unknown}
	if !to.up || w.Now < n.NoPeers || w.Now < to.NoPeers {
		w.reply(n, gen, f.Call, w.delay(), lost) // refused
		return
	}
	if w.Now < n.PeerCut || w.Now < to.PeerCut {
		w.reply(n, gen, f.Call, f.Timeout, lost)
		return
	}
	answered := false
	w.Ask(to, func(id core.ReqID) core.Event { return core.PeerAsk{Req: id, Msg: f.Msg} }, func(r core.Respond) {
		if answered {
			return
		}
		answered = true
		if r.Peer == nil {
			w.reply(n, gen, f.Call, 0, lost)
			return
		}
		w.reply(n, gen, f.Call, w.delay(), core.PeerReply{Out: core.OK, Msg: *r.Peer})
	})
	w.After(f.Timeout, func() {
		if !answered {
			answered = true
			if n.up && n.gen == gen {
				w.step(n, core.Reply{Call: f.Call, Body: lost})
			}
		}
	})
}

func (w *World) node(id core.NodeID) *Node {
	for _, n := range w.Nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}

func (w *World) orders(n *Node, f core.Orders) {
	gen := n.gen
	l := w.Workers[core.MachineID(f.Addr)]
	if l == nil || l.gone {
		w.reply(n, gen, f.Call, 1500*milli, core.OrdersReply{Out: core.NotDone})
		return
	}
	cut := max(n.WorkerCut, l.cut, l.hang, l.deaf)
	if w.Now < l.deaf {
		w.Faults["commands to a one-way machine"]++
	}
	if w.Now < cut || w.Chance(0.01) {
		if d, ok := w.lateBy(cut); ok {
			w.After(d, func() { w.late(l, f) })
		}
		w.reply(n, gen, f.Call, 2500*milli, core.OrdersReply{Out: core.Unknown})
		return
	}
	w.After(w.delay(), func() {
		if l.gone {
			w.reply(n, gen, f.Call, 2*second, core.OrdersReply{Out: core.Unknown})
			return
		}
		r := l.Orders(f)
		w.logCommands(n, l, f.Token, f.Commands)
		w.changed(l)
		if w.Chance(0.01) {
			w.reply(n, gen, f.Call, 2*second, core.OrdersReply{Out: core.Unknown})
			return
		}
		w.reply(n, gen, f.Call, w.delay(), r)
	})
}

func (w *World) late(l *Live, f core.Orders) {
	if l.gone {
		return
	}
	if w.Now < l.hang {
		w.After(l.hang-w.Now+milli, func() { w.late(l, f) })
		return
	}
	l.Orders(f)
}

func (w *World) logCommands(n *Node, l *Live, token core.Token, cmds []core.Command) {
	for _, c := range cmds {
		verb := [...]string{"start", "stop", "forget"}[c.Verb]
		w.Log(fmt.Sprintf("%s -> %s token %d: %s %s attempt %d", n.ID, l.ID, token, verb, c.Task, c.Attempt))
	}
}

// AddMachine puts a machine into the world that is up at once.
func (w *World) AddMachine(typ, zone string, spot bool) {
	w.Cloud.Capacity[Slot(typ, zone, spot)]++
	r := w.Cloud.Rent(w.Now, core.CloudRent{Name: fmt.Sprint("initial-", w.seq), Type: typ, Zone: zone, Spot: spot, Count: 1})
	w.seq++
	w.Cloud.machines[r.IDs[0]].up = w.Now
}

func (w *World) sweep() {
	for _, l := range w.Cloud.Up(w.Now) {
		w.startWorker(l)
	}
	for _, id := range w.liveIDs() {
		l := w.Workers[id]
		if w.Now >= l.hang && l.Advance(w.Now) {
			w.changed(l)
		}
	}
	w.checkQuota()
	w.checkForgotten()
}

// checkForgotten: once all troubles are over, somebody answers about every
// accepted job within 75 s.
func (w *World) checkForgotten() {
	if w.Calmed == 0 || w.Now < w.Calmed {
		return
	}
	for _, j := range w.Jobs {
		if j.Accepted && w.Now-max(w.Calmed, j.answeredAt) > 75*second {
			w.broke("forgotten: no question about %s was answered for 75 s", j.Spec.ID)
			return
		}
	}
}

func (w *World) liveIDs() []core.MachineID {
	if w.live == nil {
		for id, l := range w.Workers {
			if !l.gone {
				w.live = append(w.live, id)
			}
		}
		sort.Slice(w.live, func(i, j int) bool { return w.live[i] < w.live[j] })
	}
	return w.live
}

func (w *World) startWorker(m core.Listed) {
	var cap core.Res
	for _, t := range w.Cloud.Types {
		if t.Name == m.Type {
			cap = t.Cap
		}
	}
	l := &Live{Worker: &Worker{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Cap: cap, Fetch: 3 * second, Lease: w.cfg.Lease,
		Done: w.done, OnStart: w.onStart, Jobs: func(id core.JobID) (JobInfo, bool) {
			j := w.Jobs[id]
			if j == nil {
				return JobInfo{}, false
			}
			return j.Info, true
		}}, node: w.Rand.IntN(len(w.Nodes))}
	l.Start(w.Now)
	w.Workers[m.ID], w.live = l, nil
	w.reportLoop(l)
}

// Remove ends a machine and all on it.
func (w *World) Remove(id core.MachineID) {
	w.Cloud.Take(id)
	if l := w.Workers[id]; l != nil {
		l.gone, w.live = true, nil
		l.Tasks = nil
	}
}

func (w *World) reportLoop(l *Live) {
	if l.gone {
		return
	}
	w.After(w.Between(w.cfg.ReportEvery*3/4, w.cfg.ReportEvery*5/4), func() { w.reportLoop(l) })
	w.report(l)
}

func (w *World) changed(l *Live) {
	d := max(l.lastRep+second/2-w.Now, 0)
	w.After(d, func() { w.report(l) })
}

func (w *World) report(l *Live) {
	if l.gone || l.busy || w.Now < l.hang {
		l.again = l.busy
		return
	}
	l.busy, l.lastRep = true, w.Now
	l.Advance(w.Now)
	r := l.Report()
	sent, over := w.Now, false
	n := w.Nodes[l.node]
	next := func(d core.Time) {
		over = true
		w.After(d, func() {
			l.busy = false
			if l.again {
				l.again = false
				w.changed(l)
			}
		})
	}
	move := func() {
		l.node = (l.node + 1) % len(w.Nodes)
		l.again = true
		next(second)
	}
	w.After(4*second, func() {
		if !over {
			move()
		}
	})
	if w.Now < max(n.WorkerCut, l.cut) {
		if d, ok := w.lateBy(max(n.WorkerCut, l.cut)); ok { // a late report; nobody reads its answer
			w.After(d, func() {
				w.Ask(n, func(id core.ReqID) core.Event { return core.Checkin{Req: id, Report: r} }, func(core.Respond) {})
			})
		}
		return
	}
	if w.Copies > 0 && w.Chance(w.Copies) {
		w.copyReport(r, w.Between(second, 3*w.cfg.Lease))
	}
	w.Ask(n, func(id core.ReqID) core.Event { return core.Checkin{Req: id, Report: r} }, func(a core.Respond) {
		if over || l.gone {
			return
		}
		if sent < l.deaf { // the answer is lost; the worker tries the next node in a while
			w.Faults["answers to a one-way machine"]++
			return
		}
		if w.Now < n.StoreCut && w.Now < n.PeerCut && a.Status == 200 {
			w.Faults["answers of a controller with its workers alone"]++
		}
		if w.Now < l.hang { // answers wait in the machine; after 4 s they are dropped
			return
		}
		switch {
		case a.Status == 200 && a.Worker != nil:
			before := l.Token
			l.Answered(r.Session, sent, *a.Worker)
			w.logCommands(n, l, a.Worker.Token, a.Worker.Commands)
			if l.Token > before || len(a.Worker.Commands) > 0 {
				l.again = true
			}
			next(0)
		case a.Status == 421 && a.Worker != nil && w.node(a.Worker.Redirect) != nil && a.Worker.Redirect != n.ID:
			for i, x := range w.Nodes {
				if x.ID == a.Worker.Redirect {
					l.node = i
				}
			}
			l.again = true
			next(w.Between(0, second/2))
		default:
			move()
		}
	})
}

// copyReport delivers a report again after a while, to any controller.
func (w *World) copyReport(r core.Report, d core.Time) {
	n := w.any()
	w.After(d, func() {
		w.Ask(n, func(id core.ReqID) core.Event { return core.Checkin{Req: id, Report: r} }, func(core.Respond) {
			w.Faults["late copies of reports"]++
			if w.Workers[r.Machine].gone {
				w.Faults["late copies from machines that are gone"]++
			}
		})
	})
}

// CopyReport delivers a copy of a machine's present report later.
func (w *World) CopyReport(id core.MachineID, d core.Time) {
	if l := w.Workers[id]; l != nil && !l.gone {
		w.copyReport(l.Report(), d)
	}
}

// Deafen makes a machine one whose reports arrive while nothing reaches it.
func (w *World) Deafen(id core.MachineID, d core.Time) {
	if l := w.Workers[id]; l != nil {
		l.deaf = w.Now + d
	}
}

// --- the rules ---

func (w *World) onStart(on *Worker, t *Task) {
	w.Log(fmt.Sprintf("%s runs %s attempt %d", on.ID, t.ID, t.Attempt))
	j := w.Jobs[t.ID.Job]
	if j == nil {
		w.broke("%s started, no such job", t.ID)
		return
	}
	if j.Began == 0 {
		j.Began = w.Now
	}
	for _, id := range w.liveIDs() {
		l := w.Workers[id]
		if o := l.Tasks[t.ID]; l.ID != on.ID && o != nil && o.State != core.Ended && o.State != core.Fetching {
			w.broke("ran_twice: %s starts on %s (attempt %d) while on %s (attempt %d)", t.ID, on.ID, t.Attempt, l.ID, o.Attempt)
		}
	}
	s := j.Spec
	if s.Zone != "" && s.Zone != on.Zone || on.Spot && !s.Spot || len(s.Types) > 0 && !contains(s.Types, on.Type) {
		w.broke("wrong_place: %s on %s", t.ID, on.ID)
	}
	zones := map[string]int{}
	if s.SamePlace || s.Scatter {
		for _, id := range w.liveIDs() {
			l := w.Workers[id]
			for _, o := range l.Tasks {
				if o.ID.Job == t.ID.Job && (o.State == core.Running || o.State == core.Saving) {
					zones[l.Zone]++
				}
			}
		}
	}
	if s.SamePlace && len(zones) > 1 {
		w.broke("wrong_place: %s in more than one zone", t.ID)
	}
	if s.Scatter && zones[on.Zone] > (s.Tasks+1)/2 {
		w.broke("wrong_place: %s has %d of %d tasks in %s", t.ID, zones[on.Zone], s.Tasks, on.Zone)
	}
	if !w.Calm {
		w.checkQuota()
	}
	if j.CancelTold > 0 && w.Now-j.CancelTold > w.cfg.CancelWithin {
		w.broke("ran_cancelled: %s starts", t.ID)
	}
}

func contains(l []string, s string) bool {
	for _, x := range l {
		if x == s {
			return true
		}
	}
	return false
}

func (w *World) checkQuota() {
	use := map[string]core.Amount{}
	for _, id := range w.liveIDs() {
		for _, t := range w.Workers[id].Tasks {
			j := w.Jobs[t.ID.Job]
			if t.State != core.Running && t.State != core.Saving {
				continue
			}
			use[j.Spec.Team] += j.Spec.Need.CPU
			if j.CancelTold > 0 && w.Now-j.CancelTold > w.cfg.CancelWithin {
				w.broke("ran_cancelled: %s is on %s", t.ID, id)
			}
		}
	}
	for _, t := range w.cfg.Teams {
		if use[t.Name] > t.Limit.CPU {
			on := ""
			for _, id := range w.liveIDs() {
				for _, x := range w.Workers[id].sorted() {
					if (x.State == core.Running || x.State == core.Saving) && w.Jobs[x.ID.Job].Spec.Team == t.Name {
						on += fmt.Sprintf(" %s(%d)@%s", x.ID, x.Attempt, id)
					}
				}
			}
			w.broke("quota: %s uses %d:%s", t.Name, use[t.Name], on)
		}
	}
}

// Told checks an answer that a user got.
func (w *World) Told(j *Job, s core.Status) {
	if s == core.StDone {
		for i := range j.Spec.Tasks {
			if !w.done[core.TaskID{Job: j.Spec.ID, Index: i}] {
				w.broke("not_done: %s is called done before task %d is", j.Spec.ID, i)
				return
			}
		}
	}
	if j.Told.Final() && s != j.Told {
		w.broke("went_back: %s was %s, now %s", j.Spec.ID, j.Told, s)
	}
	if s == core.StCancelled {
		if !j.AskedCancel {
			w.broke("went_back: %s called cancelled unasked", j.Spec.ID)
		}
		if j.CancelTold == 0 {
			j.CancelTold = w.Now
		}
	}
	if s.Final() && !j.Told.Final() {
		j.finalAt = w.Now
	}
	j.Told = s
}

// Submit hands in a job until it is accepted.
func (w *World) Submit(j *Job) {
	w.Jobs[j.Spec.ID] = j
	j.Submitted = w.Now
	w.resubmit(j)
}

func (w *World) resubmit(j *Job) {
	asked := w.Now
	w.Ask(w.any(), func(id core.ReqID) core.Event { return core.Submit{Req: id, Job: j.Spec} }, func(r core.Respond) {
		switch r.Status {
		case 200, 201:
			j.Accepted, j.answeredAt = true, w.Now
			if asked >= j.finalAt {
				w.Told(j, r.View.Status)
			}
			w.poll(j)
		case 400, 422:
			w.broke("%s refused with %d", j.Spec.ID, r.Status)
		default:
			w.After(max(second, core.Time(r.RetryAfter)*second), func() { w.resubmit(j) })
		}
	})
}

func (w *World) any() *Node { return w.Nodes[w.Rand.IntN(len(w.Nodes))] }

func (w *World) poll(j *Job) {
	pause := w.Between(2*second, 6*second)
	if j.Told.Final() {
		pause *= 5
	}
	w.After(pause, func() {
		asked := w.Now
		w.Ask(w.any(), func(id core.ReqID) core.Event { return core.Query{Req: id, ID: j.Spec.ID} }, func(r core.Respond) {
			if r.Status == 200 && w.Now-asked <= 2*second {
				j.answeredAt = w.Now
			}
			switch {
			case w.Now-asked > 2*second: // the user has given up
			case r.Status == 200 && asked < j.finalAt: // may have been answered before the end was
			case r.Status == 200:
				w.Told(j, r.View.Status)
			case r.Status == 404:
				w.broke("forgotten: %s", j.Spec.ID)
			}
			w.poll(j)
		})
	})
}

// Cancel asks until it is answered.
func (w *World) Cancel(j *Job) {
	j.AskedCancel = true
	accepted := j.Accepted
	w.Ask(w.any(), func(id core.ReqID) core.Event { return core.Cancel{Req: id, ID: j.Spec.ID} }, func(r core.Respond) {
		switch {
		case r.Status == 200:
			w.Told(j, r.View.Status)
		case r.Status == 404 && accepted:
			w.broke("forgotten: %s at its cancellation", j.Spec.ID)
		default:
			w.After(second, func() { w.Cancel(j) })
		}
	})
}

// Unknown polls for a job that nobody has submitted.
func (w *World) Unknown(id core.JobID) {
	w.Ask(w.any(), func(r core.ReqID) core.Event { return core.Query{Req: r, ID: id} }, func(r core.Respond) {
		if r.Status == 200 {
			w.broke("invented: %s", id)
		}
	})
}

// Unfinished counts the jobs whose users wait.
func (w *World) Unfinished() int {
	n := 0
	for _, j := range w.Jobs {
		if !j.Told.Final() {
			n++
		}
	}
	return n
}

// Hang stops a machine for a while; Cut takes its network away.
func (w *World) Hang(id core.MachineID, d core.Time) {
	if l := w.Workers[id]; l != nil {
		l.hang = w.Now + d
	}
}

// Cut takes a machine's network away for a while.
func (w *World) Cut(id core.MachineID, d core.Time) {
	if l := w.Workers[id]; l != nil {
		l.cut = w.Now + d
	}
}

// CutZone takes the network away from all machines of a zone.
func (w *World) CutZone(zone string, d core.Time) {
	for _, id := range w.liveIDs() {
		if l := w.Workers[id]; l.Zone == zone {
			w.Cut(id, d)
		}
	}
}

// Die stops one machine of so many, with all that is on them.
func (w *World) Die(of int) {
	for i, id := range w.liveIDs() {
		if i%of == 0 {
			w.Remove(id)
		}
	}
}

// Busiest is the controller to which most workers report; nil: none is up.
func (w *World) Busiest() *Node {
	count := make([]int, len(w.Nodes))
	for _, id := range w.liveIDs() {
		count[w.Workers[id].node]++
	}
	best := -1
	for i, n := range w.Nodes {
		if n.up && (best < 0 || count[i] > count[best]) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return w.Nodes[best]
}

// Sicken makes some machines fail every task that they start.
func (w *World) Sicken(n int, d core.Time) {
	for range n {
		if l := w.Workers[w.AnyMachine()]; l != nil {
			l.Sick = w.Now + d
		}
	}
}

// Reboot ends a worker that is back at once: its tasks are gone, its next
// session begins.
func (w *World) Reboot(id core.MachineID) {
	if l := w.Workers[id]; l != nil && !l.gone {
		l.renewed = -l.Lease
		l.Advance(w.Now)
		w.changed(l)
	}
}

// SpotNotice warns a spot machine, then takes it.
func (w *World) SpotNotice(id core.MachineID, d core.Time) {
	l := w.Workers[id]
	if l == nil || l.gone || !l.Spot {
		return
	}
	l.Notice = float64(d) / 1e9
	w.changed(l)
	w.After(d, func() { w.Remove(id) })
}

// AnyMachine draws a running machine, or none.
func (w *World) AnyMachine() core.MachineID {
	ids := w.liveIDs()
	if len(ids) == 0 {
		return ""
	}
	return ids[w.Rand.IntN(len(ids))]
}
