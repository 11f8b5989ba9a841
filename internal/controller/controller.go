// Package controller implements a controller as a deterministic state machine. It makes
// all decisions and leaves their execution to its caller.
//
// Controller.Step takes the current time and an event, and returns the effects to
// execute. A Controller has no clock, no randomness, no goroutines and does no I/O, so
// a test can reproduce any failure by replaying its events.
package controller

import (
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/inventory"
	"stairrelay/internal/jobs"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
	"stairrelay/internal/ownership"
	"stairrelay/internal/provisioning"
	"stairrelay/internal/reconcile"
	"stairrelay/internal/scheduling"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	second      = cluster.Time(time.Second)
	millisecond = cluster.Time(time.Millisecond)
)

// Controller is the state machine of one controller. It connects the components, each
// of which documents the invariants of its own state.
type Controller struct {
	config Config
	loop   *eventloop.Loop
	state  *state.State

	writeQueue *writequeue.Queue
	counters   Counters

	// Health of this node.
	processHealth      *membership.ProcessHealth
	workerReachability *membership.WorkerReachability

	// The other controllers.
	members *membership.Members

	// Shards, teams and jobs.
	ownership *ownership.Manager
	progress  []shardProgress // by shard
	jobs      *jobs.Jobs
	scheduler *scheduling.Scheduler

	// Machines.
	recordNames *inventory.RecordNames
	inventory   *inventory.Inventory
	reconciler  *reconcile.Reconciler
	provisioner *provisioning.Provisioner
}

// New returns a new Controller. Its components and periodic timers start at the first
// call of Step.
func New(cfg Config) *Controller {
	c := &Controller{
		config:        cfg,
		loop:          eventloop.New(),
		state:         state.New(cfg.Nodes, cfg.Teams),
		recordNames:   inventory.NewRecordNames(cfg.InstanceID),
		processHealth: &membership.ProcessHealth{},
	}
	c.writeQueue = writequeue.New(c.loop, c.writeQueueConfig(), shardClaims{controller: c})
	c.workerReachability = membership.NewWorkerReachability(c.loop, cfg.HeartbeatInterval, c.processHealth, ownedFleet{c})
	c.members = membership.New(c.loop, c.membershipConfig(), c.writeQueue, c.workerReachability, membershipHost{c})
	c.ownership = ownership.New(c.loop, c.ownershipConfig(), c.state.Shards, c.writeQueue, c.members, shardLoader{c})
	c.jobs = c.newJobs()
	c.inventory = inventory.New(c.loop, c.inventoryConfig(), c.state, c.writeQueue, c.recordNames, c.inventoryDependencies())
	c.scheduler = c.newScheduler()
	c.provisioner = c.newProvisioner()
	c.reconciler = c.newReconciler()
	c.progress = make([]shardProgress, len(cfg.Nodes))
	c.loop.After(0, c.startLoops)
	return c
}

// Step handles one event and all timers that are due, and returns the effects to execute.
func (c *Controller) Step(now cluster.Time, wall cluster.WallTime, ev messages.Event) []messages.Effect {
	paused := membership.IsPause(now - c.loop.Now())
	c.loop.Begin(now, wall)
	if _, started := c.loop.NextWake(); paused && started {
		c.handleProcessPause()
	}
	switch e := ev.(type) {
	case messages.Tick:
	case messages.Submit:
		c.counters.Submissions++
		c.jobs.Submissions.HandleSubmit(e)
	case messages.Query:
		c.counters.Queries++
		c.jobs.Queries.HandleQuery(e)
	case messages.Cancel:
		c.counters.Cancellations++
		c.jobs.Cancellations.HandleCancel(e)
	case messages.Health:
		c.handleHealth(e)
	case messages.Heartbeat:
		c.counters.Heartbeats++
		c.reconciler.Heartbeats.Handle(e)
	case messages.OversizedHeartbeat:
		c.counters.Heartbeats++
		c.reconciler.Heartbeats.HandleOversized(e)
	case messages.PeerRequest:
		c.handlePeerRequest(e)
	case messages.ProcessLoad:
		c.processHealth.RecordLoad(e)
	case messages.Reply:
		c.loop.Deliver(e)
	}
	c.loop.RunTimers()
	c.flush()
	return c.loop.Effects()
}

// NextWake returns when the next messages.Tick is due. The result is false if no timer is
// set.
func (c *Controller) NextWake() (cluster.Time, bool) { return c.loop.NextWake() }

// flush runs the work that the handlers of a step have requested: the propagation of
// urgency to dependencies, scheduling, command pushes, writes to the store and responses to heartbeats. It is called once at the end
// of each step.
func (c *Controller) flush() {
	c.jobs.Records.PropagateUrgency()
	c.scheduler.RunIfRequested()
	c.reconciler.Commands.PushQueued()
	c.writeQueue.Dispatch()
	c.reconciler.Heartbeats.AnswerReady()
}

// respondError rejects a request with a status and a reason.
func (c *Controller) respondError(request messages.RequestID, status messages.ResponseStatus, reason string) {
	c.loop.Emit(messages.Respond{Request: request, Status: status, Error: reason})
}

// startLoops starts the components, requests the stored jobs and the machine types, and
// starts the periodic timers.
func (c *Controller) startLoops() {
	t := c.config.Tuning
	c.members.Start()
	c.ownership.Start()
	c.jobs.Load()
	c.provisioner.Types.Fetch()
	c.provisioner.Types.Load()
	c.loop.Every(eventloop.FixedInterval(t.CheckpointInterval), c.writeBackgroundState)
	c.loop.Every(eventloop.FixedInterval(second), c.writeQueue.MeasureDemand)
	c.loop.Every(eventloop.FixedInterval(second), c.provisioner.RateLimiter.MeasureDemand)
	c.loop.Every(eventloop.FixedInterval(reconcile.MaintenanceInterval), c.reconciler.Maintenance.Run)
	c.loop.Every(eventloop.FixedInterval(second), c.provisioner.ScaleOut.Run)
	c.loop.Every(eventloop.FixedInterval(2*second), c.workerReachability.Probe)
	c.loop.Every(eventloop.FixedInterval(2*second), c.members.RefreshLiveness)
	c.loop.Every(eventloop.FixedInterval(second/2), c.probeStore)
	c.loop.Every(eventloop.FixedInterval(second), c.ownership.RenewLeases)
	c.loop.Every(eventloop.FixedInterval(second/4), c.scheduler.Trigger.Request)
	c.loop.Every(eventloop.FixedInterval(30*second), c.logStats)
}

// writeBackgroundState queues the writes that aren't urgent. They record newly completed
// tasks of unfinished jobs, remove absent tasks from group records, and split and merge
// group records. It also logs shards that make no progress.
func (c *Controller) writeBackgroundState() {
	c.jobs.Records.WriteOutcomes()
	c.inventory.MaintainRecords()
	c.checkShardProgress()
}
