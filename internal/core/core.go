package core

import (
	"sort"
	"time"
)

const (
	second = Time(time.Second)
	milli  = Time(time.Millisecond)
)

// Core is a controller's whole state, by owner: each type says what always
// holds of its fields, in the file that it is named for.
type Core struct {
	cfg  Config
	now  Time
	wall Wall

	// What it wants done, and what it waits for.
	out      []Effect
	lastCall CallID
	calls    map[CallID]func(any)
	timers   timerQueue
	writer   writer
	cloud    cloudShare
	counters Counters

	// How this node fares.
	storeHealth   storeHealth
	process       processHealth
	heartbeat     heartbeat
	workerContact workerContact

	// The other controllers.
	peers        map[NodeID]*peer
	releases     releaseRegistry
	ownerQueries ownerQueries

	// Parts, teams and jobs.
	parts          []*part // by number
	partsEpoch     Epoch   // who holds which part is known up to this revision
	holdingChanges int     // of the parts held here
	teams          map[string]*team
	jobs           jobRegistry
	jobReads       jobReads
	acceptances    acceptances
	classes        map[string]*classStats
	loadCache      loadCache
	placement      placementTrigger

	// Machines.
	machines      map[MachineID]*machine // of parts held here
	groups        map[string]*group      // of parts held here
	names         recordNames
	owners        machineOwners
	orphans       orphans
	types         map[string]MachineType
	catalogue     storedCatalogue
	cloudListing  cloudListing
	rentScheduled bool // a look for machines before the next regular one
	returns       machineReturns
	spotLosses    spotLosses
	heldReports   heldReports
	urgentOrders  []*machine // whose commands can't wait for their reports
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
		owners:       machineOwners{},
		orphans:      newOrphans(),
		peers:        map[NodeID]*peer{},
		ownerQueries: newOwnerQueries(),
		teams:        map[string]*team{},
		types:        map[string]MachineType{},
		classes:      map[string]*classStats{},
	}
	c.releases = newReleaseRegistry(cfg.Self)
	c.writer.init(c)
	for i := range cfg.Nodes {
		c.parts = append(c.parts, &part{id: Part(i), home: cfg.Nodes[i], refusals: map[rentOption]int{}, use: teamUse{}})
		if n := cfg.Nodes[i]; n != cfg.Self {
			c.peers[n] = &peer{id: n}
		}
	}
	partOf := assignTeams(cfg.Teams, len(cfg.Nodes))
	for _, t := range cfg.Teams {
		c.teams[t.Name] = &team{Team: t, part: partOf[t.Name]}
	}
	c.divideCloud()
	c.cloud.bucket.Fill()
	c.cloudListing.nextAt = c.firstList()
	c.after(0, c.boot)
	return c
}

// Step takes one event and returns what is to be done about it.
func (c *Core) Step(now Time, wall Wall, ev Event) []Effect {
	stood := now-c.now > standstill
	if now > c.now {
		c.now = now
	}
	c.wall = wall
	c.out = nil
	if stood && c.timers.len() > 0 {
		c.resume()
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
		c.process.load = e
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
	switch c.placement.check(c.now) {
	case placeNow:
		c.placement.begin(c.now + c.process.pause(placePause))
		c.place()
	case placeLater:
		c.after(c.placement.schedule(c.now), func() { c.placement.wakeScheduled = false })
	}
	c.pushOrders()
	c.writer.pump()
	c.releaseReports()
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) call(fn func(any)) CallID {
	c.lastCall++
	c.calls[c.lastCall] = fn
	return c.lastCall
}

func (c *Core) logf(level LogLevel, text string, args ...any) {
	c.emit(Log{Level: level, Text: text, Args: args})
}

// refuse answers at once that the request can't be taken now.
func (c *Core) refuse(req ReqID, status ReplyStatus, after int, why string) {
	c.emit(Respond{Req: req, Status: status, RetryAfter: after, Error: why})
}

// boot starts everything that runs on its own.
func (c *Core) boot() {
	t := c.cfg.Tuning
	for _, n := range c.cfg.Nodes {
		if p := c.peers[n]; p != nil {
			c.watchPeer(p)
		}
	}
	c.loadParts()
	c.loadJobs()
	c.loadAccepted()
	c.fetchTypes()
	c.readTypes()
	c.every(fixed(t.Checkpoint), c.checkpoint)
	c.every(fixed(second), c.writer.measure)
	c.every(fixed(second), c.measureCloud)
	c.every(fixed(sweepEvery), c.machineSweep)
	c.every(fixed(second), c.rentSweep)
	c.every(fixed(2*second), c.inspectWorker)
	c.every(fixed(2*second), c.beat)
	c.every(fixed(second/2), c.askStore)
	c.every(fixed(second), c.proveClaims)
	c.every(fixed(second/4), func() { c.placement.request() })
	c.every(fixed(30*second), c.logStats)
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	ks := make([]K, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	sort.Slice(ks, func(i, j int) bool { return ks[i] < ks[j] })
	return ks
}
