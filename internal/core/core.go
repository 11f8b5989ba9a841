package core

import (
	"container/heap"
	"sort"
	"time"
)

const (
	second = Time(time.Second)
	milli  = Time(time.Millisecond)
)

// Core is a controller's whole state.
type Core struct {
	cfg  Config
	now  Time
	wall Wall
	out  []Effect

	lastCall CallID
	calls    map[CallID]func(any)
	timers   timerHeap
	timerSeq uint64

	w       writer
	storeUp storeHealth

	parts    []*part // by number
	jobs     jobRegistry
	machines map[MachineID]*machine
	groups   map[string]*group // of held parts
	owners   map[MachineID]ownerNote
	peers    map[NodeID]*peer
	teams    map[string]*team
	releases releaseRegistry
	types    map[string]MachineType
	listed   cloudView
	kept     []MachineType // the catalogue in the store
	keptMark Mark
	keptRead bool
	keeping  bool

	acceptances  acceptances
	jobReads     jobReads
	ownerQueries ownerQueries
	partsEpoch   Epoch
	counters     Counters
	classes      map[string]*classStats
	rentSeq      int
	rentAsked    bool
	beating      bool
	beatMark     Mark
	nextList     Time
	strays       map[MachineID]Time // listed without a record, since when
	cloud        cloudShare
	lastReport   Time
	proveStore   Time // the store is asked until then
	checkinAt    Time // when any worker last reported here, also another's
	workersLost  bool
	lastAddr     string // of a worker, to find out whether workers can be reached
	heldReports  []*machine
	holdWake     bool
	pokes        []*machine
	groupSeq     int
	strange      []Checkin // from machines whose owner is being looked for
	finding      bool
	foundAt      Time
	inspecting   map[MachineID]bool // being enlisted
	returnAsked  bool
	returns      map[string]int // by why, not logged yet
	returnTasks  int
	nextPlace    Time
	placeWake    bool
	loadsAt      Time // when lastLoads was worked out; many ask within one interval
	loadsEpoch   int
	lastLoads    []PartLoad
	spotLost     float64 // spot machines taken back or lost, and what they served in all, in seconds
	spotTime     float64
	claims       int      // changes of the parts held here
	found        []Listed // in the cloud's list, without a record
	placing      bool
	load         Load // as last told
	awakeAt      Time // when the process last went on after standing still
}

// Counters are for the periodic log line.
type Counters struct {
	Kinds                                                                                          [prios]int // puts: claims, accepts, starts, outcomes, the rest
	Reports, Submits, Queries, Cancels, Orders, Txns, Puts, Conflicts, Gets, PeerCalls, CloudCalls int
}

type team struct {
	Team
	part Part
}

type ownerNote struct {
	part Part
	at   Time
}

// New makes a Core. Nothing happens before the first Step.
func New(cfg Config) *Core {
	c := &Core{
		cfg:          cfg,
		calls:        map[CallID]func(any){},
		jobs:         newJobRegistry(),
		machines:     map[MachineID]*machine{},
		groups:       map[string]*group{},
		acceptances:  acceptances{revisions: map[JobID]Mark{}},
		inspecting:   map[MachineID]bool{},
		owners:       map[MachineID]ownerNote{},
		peers:        map[NodeID]*peer{},
		ownerQueries: newOwnerQueries(),
		teams:        map[string]*team{},
		types:        map[string]MachineType{},
		strays:       map[MachineID]Time{},
		classes:      map[string]*classStats{},
	}
	c.releases = newReleaseRegistry(cfg.Self)
	c.w.init(c)
	for i := range cfg.Nodes {
		c.parts = append(c.parts, &part{id: Part(i), home: cfg.Nodes[i], refusals: map[rentOption]int{}})
		if n := cfg.Nodes[i]; n != cfg.Self {
			c.peers[n] = &peer{id: n}
		}
	}
	for name, p := range assignTeams(cfg.Teams, len(cfg.Nodes)) {
		for _, t := range cfg.Teams {
			if t.Name == name {
				c.teams[name] = &team{Team: t, part: p}
			}
		}
	}
	c.divideCloud()
	c.cloud.bucket.Fill()
	c.nextList = c.firstList()
	c.after(0, c.boot)
	return c
}

// assignTeams spreads the teams over the parts by guarantee, largest first.
// It depends on the settings alone, so that every node finds the same.
func assignTeams(teams []Team, parts int) map[string]Part {
	ts := append([]Team(nil), teams...)
	sort.SliceStable(ts, func(i, j int) bool {
		a, b := ts[i].Guarantee.CPU+ts[i].Guarantee.GPU*8, ts[j].Guarantee.CPU+ts[j].Guarantee.GPU*8
		if a != b {
			return a > b
		}
		return ts[i].Name < ts[j].Name
	})
	load := make([]Amount, parts)
	res := map[string]Part{}
	for _, t := range ts {
		best := 0
		for p := range load {
			if load[p] < load[best] {
				best = p
			}
		}
		load[best] += t.Guarantee.CPU + t.Guarantee.GPU*8 + 1
		res[t.Name] = Part(best)
	}
	return res
}

// Step takes one event and returns what is to be done about it.
func (c *Core) Step(now Time, wall Wall, ev Event) []Effect {
	stood := now-c.now > standstill
	if now > c.now {
		c.now = now
	}
	c.wall = wall
	c.out = nil
	if stood && len(c.timers) > 0 {
		c.awake()
	}
	switch e := ev.(type) {
	case Tick:
	case Submit:
		c.counters.Submits++
		c.onSubmit(e)
	case Query:
		c.counters.Queries++
		c.onQuery(e)
	case Cancel:
		c.counters.Cancels++
		c.onCancel(e.Req, e.ID, true)
	case Health:
		c.onHealth(e)
	case Checkin:
		c.counters.Reports++
		c.onCheckin(e)
	case PeerAsk:
		c.onPeer(e)
	case Load:
		c.load = e
	case Reply:
		if fn := c.calls[e.Call]; fn != nil {
			delete(c.calls, e.Call)
			fn(e.Body)
		}
	}
	c.runTimers()
	c.flush()
	return c.out
}

// flush decides once per step on all that the step has changed.
func (c *Core) flush() {
	if c.placing && c.now >= c.nextPlace {
		c.placing, c.nextPlace = false, c.now+c.pause(placePause)
		c.place()
	} else if c.placing && !c.placeWake {
		c.placeWake = true
		c.after(c.nextPlace-c.now, func() { c.placeWake = false })
	}
	c.pushOrders()
	c.w.pump()
	c.releaseReports()
}

// standstill: timers are due several times a second, so a gap between events
// as long as this means that the process stood still while its clocks ran on.
const standstill = 3 * second

// awake is called when the process has stood still. What it knows is as old as
// that: another may hold its parts, and that no machine was heard in the gap
// says nothing about the machines.
func (c *Core) awake() {
	c.awakeAt = c.now
	c.logf("info", "stood still")
	for _, p := range c.parts {
		if p.held {
			c.rereadPart(p)
		}
	}
}

// silentFor is how long a machine could have been heard and was not.
func (c *Core) silentFor(m *machine) Time { return c.now - max(m.heard, c.awakeAt) }

// strained tells whether the process is about to use more than its share of
// the processor. What comes in late then are leases, acceptances and calls of
// other controllers; placing and renting less often leaves time for those.
func (c *Core) strained() bool { return c.load.Busy > 0.75 || c.load.Lag > 150*milli }

// pause stretches the time between two decisions that can wait while the
// process is strained.
func (c *Core) pause(d Time) Time {
	if !c.strained() {
		return d
	}
	return min(5*d+c.load.Lag/2, second)
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) call(fn func(any)) CallID {
	c.lastCall++
	c.calls[c.lastCall] = fn
	return c.lastCall
}

func (c *Core) logf(level, text string, args ...any) {
	c.emit(Log{Level: level, Text: text, Args: args})
}

func (c *Core) respond(r Respond) { c.emit(r) }

// refuse answers at once that the request can't be taken now.
func (c *Core) refuse(req ReqID, status, after int, why string) {
	c.emit(Respond{Req: req, Status: status, RetryAfter: after, Error: why})
}

type timer struct {
	at  Time
	seq uint64
	fn  func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	o := *h
	x := o[len(o)-1]
	*h = o[:len(o)-1]
	return x
}

func (c *Core) after(d Time, fn func()) {
	c.timerSeq++
	heap.Push(&c.timers, timer{c.now + d, c.timerSeq, fn})
}

func (c *Core) every(d func() Time, fn func()) {
	var loop func()
	loop = func() {
		fn()
		c.after(d(), loop)
	}
	loop()
}

func fixed(d Time) func() Time { return func() Time { return d } }

// NextWake says when the next Tick is due.
func (c *Core) NextWake() (Time, bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}

func (c *Core) runTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		t := heap.Pop(&c.timers).(timer)
		t.fn()
	}
}

// boot starts everything that runs on its own.
func (c *Core) boot() {
	t := c.cfg.Tuning
	for _, n := range c.cfg.Nodes {
		if p := c.peers[n]; p != nil {
			c.pingLoop(p)
		}
	}
	c.loadParts()
	c.loadJobs()
	c.loadAccepted()
	c.fetchTypes()
	c.readTypes()
	c.every(fixed(t.Checkpoint), c.checkpoint)
	c.every(fixed(second), c.w.measure)
	c.every(fixed(second), c.measureCloud)
	c.every(fixed(sweepEvery), c.machineSweep)
	c.every(fixed(second), c.rentSweep)
	c.every(fixed(2*second), c.inspectWorker)
	c.every(fixed(2*second), c.beat)
	c.every(fixed(second/2), c.askStore)
	c.every(fixed(second), c.proveClaims)
	c.every(fixed(second/4), func() { c.placing = true })
	c.every(fixed(30*second), c.stats)
}

func (c *Core) stats() {
	k := c.counters
	c.counters = Counters{}
	held := 0
	for _, p := range c.parts {
		if p.held {
			held++
		}
	}
	var room, spot, recording, ready, fetching, running, ended, waiting, booting, idle Amount
	sizes := 0
	for _, p := range c.parts {
		for _, m := range p.ms {
			if m.booting {
				booting += c.types[m.typ].Cap.CPU
				continue
			}
			room += c.types[m.typ].Cap.CPU
			if m.spot {
				spot += c.types[m.typ].Cap.CPU
			}
			if m.liveTasks() == 0 {
				idle += c.types[m.typ].Cap.CPU
			}
			for _, a := range m.assigns {
				switch {
				case a.phase == aEnded:
					ended += a.need.CPU
				case a.phase == aRecording:
					recording += a.need.CPU
				case a.phase == aReady:
					ready += a.need.CPU
				case a.runAt == 0:
					fetching += a.need.CPU
				default:
					running += a.need.CPU
				}
			}
		}
		if p.held && p.ready {
			for _, w := range c.unplaced(p) {
				waiting += w.j.spec.Need.CPU * Amount(w.n)
			}
		}
	}
	for _, g := range c.groups {
		sizes += g.size
	}
	cpus := func(a Amount) int { return int(a / 1_000_000) }
	c.logf("info", "load", "cpus", cpus(room), "spot", cpus(spot), "idle", cpus(idle), "running", cpus(running), "fetching", cpus(fetching), "ready", cpus(ready),
		"recording", cpus(recording), "ended", cpus(ended), "waiting", cpus(waiting), "booting", cpus(booting), "groups", len(c.groups),
		"group_bytes", sizes/max(len(c.groups), 1), "puts_share", int(c.w.puts.Rate()*10)/10)
	c.logf("info", "stats", "reports", k.Reports, "submits", k.Submits, "queries", k.Queries, "cancels", k.Cancels,
		"orders", k.Orders, "txns", k.Txns, "puts", k.Puts, "claims", k.Kinds[prioClaim], "rentals", k.Kinds[prioRent], "accepts", k.Kinds[prioAccept], "starts", k.Kinds[prioStart],
		"outcomes", k.Kinds[prioDone], "lazy", k.Kinds[prioLazy], "conflicts", k.Conflicts, "gets", k.Gets,
		"peer_calls", k.PeerCalls, "cloud_calls", k.CloudCalls, "parts", held, "jobs", len(c.jobs.held),
		"machines", len(c.machines), "queue", c.w.depth(), "inflight", c.w.inflight)
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	ks := make([]K, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	sort.Slice(ks, func(i, j int) bool { return ks[i] < ks[j] })
	return ks
}
