// Package controller is the controller's state machine: it makes all decisions
// and carries out none of them.
//
// A Controller is driven by Step(now, event) -> effects. It has no clock, no
// randomness, no goroutine and no input or output: whatever it needs from
// outside arrives as an event, whatever it wants done leaves as an effect. So
// every failure can be replayed in a test by feeding events.
package controller

import (
	"sort"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	second      = cluster.Time(time.Second)
	millisecond = cluster.Time(time.Millisecond)
)

// Controller is a controller's whole state, by owner: each type says what always
// holds of its fields, in the file that it is named for.
type Controller struct {
	config   Config
	now      cluster.Time
	wallTime cluster.WallTime

	// What it wants done, and what it waits for.
	effects      []messages.Effect
	lastCallID   messages.CallID
	pendingCalls map[messages.CallID]func(any)
	timers       timerQueue
	writeQueue   writeQueue
	cloudRate    cloudRateShare
	counters     Counters

	// How this node fares.
	storeHealth        storeHealth
	processHealth      processHealth
	livenessKey        nodeLiveness
	workerReachability workerReachability

	// The other controllers.
	peers           map[cluster.NodeID]*peer
	versionRegistry versionRegistry
	ownerQueries    ownerQueries

	// Parts, teams and jobs.
	shards            []*shard         // by number
	shardsRevision    cluster.Revision // who holds which part is known up to this revision
	ownedShardChanges int              // of the parts held here
	teams             map[string]*team
	jobs              jobRegistry
	jobReads          linearizableJobReads
	admissions        admissionQueue
	classStats        map[string]*classStats
	loadCache         loadCache
	schedulingTrigger schedulingTrigger

	// Machines.
	machines          map[cluster.MachineID]*machine // of parts held here
	machineGroups     map[string]*machineGroup       // of parts held here
	recordNames       recordNames
	machineOwners     machineOwners
	orphanedMachines  orphanedMachines
	machineTypes      map[string]cluster.MachineType
	machineTypeCache  machineTypeCache
	cloudListing      cloudListing
	scaleOutScheduled bool // a look for machines before the next regular one
	machineReleases   scaleInBatch
	spotInterruptions spotInterruptions
	heldHeartbeats    heldHeartbeats
	urgentPushes      []*machine // whose commands can't wait for their reports
}

// New makes a Core. Nothing happens before the first Step.
func New(cfg Config) *Controller {
	c := &Controller{
		config:           cfg,
		pendingCalls:     map[messages.CallID]func(any){},
		jobs:             newJobRegistry(),
		machines:         map[cluster.MachineID]*machine{},
		machineGroups:    map[string]*machineGroup{},
		admissions:       admissionQueue{firstRevisions: map[cluster.JobID]cluster.ModRevision{}},
		machineOwners:    machineOwners{},
		orphanedMachines: newOrphanedMachines(),
		peers:            map[cluster.NodeID]*peer{},
		ownerQueries:     newOwnerQueries(),
		teams:            map[string]*team{},
		machineTypes:     map[string]cluster.MachineType{},
		classStats:       map[string]*classStats{},
	}
	c.versionRegistry = newVersionRegistry(cfg.Self)
	c.writeQueue.init(c)
	for i := range cfg.Nodes {
		c.shards = append(c.shards, &shard{id: cluster.ShardID(i), preferredOwner: cfg.Nodes[i], outOfCapacityCount: map[provisioningOption]int{}, usage: teamUsage{}})
		if n := cfg.Nodes[i]; n != cfg.Self {
			c.peers[n] = &peer{id: n}
		}
	}
	partOf := assignTeamsToShards(cfg.Teams, len(cfg.Nodes))
	for _, t := range cfg.Teams {
		c.teams[t.Name] = &team{Team: t, shard: partOf[t.Name]}
	}
	c.updateCloudRate()
	c.cloudRate.bucket.Fill()
	c.cloudListing.nextReadAt = c.firstCloudListAt()
	c.after(0, c.startLoops)
	return c
}

// Step takes one event and returns what is to be done about it.
func (c *Controller) Step(now cluster.Time, wall cluster.WallTime, ev messages.Event) []messages.Effect {
	stood := now-c.now > processPauseThreshold
	if now > c.now {
		c.now = now
	}
	c.wallTime = wall
	c.effects = nil
	if stood && c.timers.len() > 0 {
		c.handleProcessPause()
	}
	switch e := ev.(type) {
	case messages.Tick:
	case messages.Submit:
		c.counters.Submissions++
		c.handleSubmit(e)
	case messages.Query:
		c.counters.Queries++
		c.handleQuery(e)
	case messages.Cancel:
		c.counters.Cancellations++
		c.handleCancel(e.Request, e.ID, true)
	case messages.Health:
		c.handleHealth(e)
	case messages.Heartbeat:
		c.counters.Heartbeats++
		c.handleHeartbeat(e)
	case messages.PeerRequest:
		c.handlePeerRequest(e)
	case messages.ProcessLoad:
		c.processHealth.load = e
	case messages.Reply:
		if fn := c.pendingCalls[e.Call]; fn != nil {
			delete(c.pendingCalls, e.Call)
			fn(e.Body)
		}
	}
	c.runTimers()
	c.flush()
	return c.effects
}

// flush decides once per step on all that the step has changed.
func (c *Controller) flush() {
	switch c.schedulingTrigger.check(c.now) {
	case scheduleNow:
		c.schedulingTrigger.begin(c.now + c.processHealth.stretchDelay(schedulingInterval))
		c.scheduleOwnedShards()
	case scheduleLater:
		c.after(c.schedulingTrigger.armTimer(c.now), func() { c.schedulingTrigger.timerArmed = false })
	}
	c.pushQueuedCommands()
	c.writeQueue.dispatch()
	c.answerHeldHeartbeats()
}

func (c *Controller) emit(e messages.Effect) { c.effects = append(c.effects, e) }

func (c *Controller) registerCall(fn func(any)) messages.CallID {
	c.lastCallID++
	c.pendingCalls[c.lastCallID] = fn
	return c.lastCallID
}

func (c *Controller) log(level messages.LogLevel, text string, args ...any) {
	c.emit(messages.Log{Level: level, Message: text, Args: args})
}

// respondError answers at once that the request can't be taken now.
func (c *Controller) respondError(req messages.RequestID, status messages.ReplyStatus, after int, why string) {
	c.emit(messages.Respond{Request: req, Status: status, RetryAfter: after, Error: why})
}

// startLoops starts everything that runs on its own.
func (c *Controller) startLoops() {
	t := c.config.Tuning
	for _, n := range c.config.Nodes {
		if p := c.peers[n]; p != nil {
			c.startFailureDetector(p)
		}
	}
	c.loadShards()
	c.loadJobs()
	c.loadAdmissions()
	c.fetchMachineTypes()
	c.loadMachineTypeCache()
	c.every(fixedInterval(t.CheckpointInterval), c.writeBackgroundState)
	c.every(fixedInterval(second), c.writeQueue.measureDemand)
	c.every(fixedInterval(second), c.measureCloudDemand)
	c.every(fixedInterval(maintenanceInterval), c.maintainMachines)
	c.every(fixedInterval(second), c.runScaleOut)
	c.every(fixedInterval(2*second), c.probeWorker)
	c.every(fixedInterval(2*second), c.refreshNodeLiveness)
	c.every(fixedInterval(second/2), c.probeStore)
	c.every(fixedInterval(second), c.renewOwnership)
	c.every(fixedInterval(second/4), func() { c.schedulingTrigger.request() })
	c.every(fixedInterval(30*second), c.logStats)
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	ks := make([]K, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	sort.Slice(ks, func(i, j int) bool { return ks[i] < ks[j] })
	return ks
}
