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
	Now       core.Time
	Rand      *rand.Rand
	State     *State
	Cloud     *Cloud
	Nodes     []*Node
	Workers   map[core.MachineID]*Live
	Jobs      map[core.JobID]*Job
	Broken    []string
	Late      bool           // messages over a cut may arrive minutes late
	Copies    float64        // the chance that a report is delivered again, up to several leases later
	SlowPeers float64        // the chance that a message between controllers is slow
	Calmed    core.Time      // all troubles are over from then on; 0: not judged
	Faults    map[string]int // troubles that were seen to happen, by kind
	Calm      bool           // nothing is lost or slow but what a test asks for
	Down      core.Time      // the state service is out until then
	Slow      core.Time      // added to every answer of the state service
	CloudDn   core.Time
	more      trouble
	lastKill  core.Time // of a controller
	cfg       core.Config
	// limitsBefore are the store's limits before the upgrade.
	limitsBefore Limits
	done         map[core.TaskID]bool
	events       events
	seq          uint64
	boots        int
	live         []core.MachineID // sorted; nil: to be worked out anew
	Log          func(string)
	Spent        time.Duration // real time that the cores took
	Steps        int           // events that they were given
	Count        bool          // count the cores' allocations, which takes time itself
	Allocs       uint64        // counted
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
	Unheard   core.Time // its transactions are carried out until then, their answers lost
	Frozen    core.Time // stands still until then, its clocks run on
	Release   Release   // of its next or present process
}

// Live is a running worker with its habits.
type Live struct {
	*Worker
	node    int
	hang    core.Time
	cut     core.Time
	deaf    core.Time // its reports arrive, nothing reaches it until then
	mute    core.Time // its connections to controllers fail until then, direct commands reach it
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
	MayCancel   bool      // its user has a cancellation in mind
	lastStart   core.Time // when a task of it last started
	idleFrom    core.Time // since when it waits with room for it; 0: it doesn't
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
	w := emptyWorld(seed, cfg, cloud)
	w.start()
	return w
}

// emptyWorld makes a cluster none of whose controllers has started.
func emptyWorld(seed uint64, cfg core.Config, cloud *Cloud) *World {
	w := &World{
		Rand:    rand.New(rand.NewPCG(seed, 1)),
		State:   NewState(),
		Cloud:   cloud,
		Workers: map[core.MachineID]*Live{},
		Jobs:    map[core.JobID]*Job{},
		done:    map[core.TaskID]bool{},
		Faults:  map[string]int{},
		cfg:     cfg,
		Log:     func(string) {},
	}
	for _, id := range cfg.Nodes {
		w.Nodes = append(w.Nodes, &Node{ID: id})
	}
	return w
}

// start boots all controllers.
func (w *World) start() {
	for _, n := range w.Nodes {
		w.Boot(n)
	}
	w.every(500*milli, w.sweep)
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
	cfg := w.configOf(n)
	cfg.Self, cfg.Boot = n.ID, fmt.Sprintf("b%d", w.boots)
	n.core, n.up, n.started = core.New(cfg), true, w.Now
	n.waiting, n.wake = map[core.ReqID]func(core.Respond){}, 0
	w.step(n, core.Tick{})
}

// Kill ends a controller's process without a signal.
func (w *World) Kill(n *Node) {
	w.lastKill = w.Now
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
	effects := n.core.Step(w.Now-n.started, core.Wall(w.Now/milli), releaseEvent(n.Release, ev))
	w.Spent += time.Since(begun)
	w.Allocs += w.allocs() - before
	for _, f := range effects {
		w.effect(n, releaseEffect(n.Release, f))
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
	w.checkLeftWaiting()
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
		Done: w.done, OnStart: w.onStart, OnDone: w.onDone, Jobs: func(id core.JobID) (JobInfo, bool) {
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
	if w.Now < l.mute {
		w.Faults["reports of a mute machine"]++
		move()
		return
	}
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
	w.keepForNext(r)
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
	j.lastStart = w.Now
	w.checkEarly(j)
	if j.CancelTold > 0 {
		w.Faults["starts after a confirmed cancellation"]++
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
			if j.CancelTold > 0 && w.Now-j.CancelTold > w.cfg.CancelWithin && !w.leaseAlone(j, w.Workers[id]) {
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

// AnyMachine draws a running machine, or none.
func (w *World) AnyMachine() core.MachineID {
	ids := w.liveIDs()
	if len(ids) == 0 {
		return ""
	}
	return ids[w.Rand.IntN(len(ids))]
}
