// Package reconcile keeps the workers in line with the stored records of their
// machines. It compares each heartbeat with the records, answers it with commands,
// pushes those that can't wait, stops tasks, looks after machines that are silent or
// not needed, and adopts machines that no record lists.
//
// A heartbeat proves only what its incarnation, sequence number and fencing token
// say: it may be an old copy, and commands of an earlier owner may still be on their
// way to the worker. So:
//
//   - A heartbeat older than one already applied is dropped.
//   - That a task is missing from a heartbeat proves that it is not on the machine
//     only if the worker has acknowledged this owner's token (absence.go).
//   - A start is sent only after the record that lists it is stored; the answer to a
//     heartbeat waits a moment for that (held.go).
//   - A start of unknown outcome is in doubt until a higher token, once acknowledged,
//     proves that it can't be carried out any more (push.go, token.go).
//   - The end of a task is acknowledged to its worker only after it is stored.
//
// Why a task was stopped: stops.go lists all causes. Those found here are in
// stops.go (its job was cancelled, another task needs its place, its machine is
// slow), draining.go (preemption notice of the cloud) and unrecorded.go (no record
// lists it). A task also ends when its whole machine is released: maintenance.go and
// unresponsive.go say why that is.
package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	second      = cluster.Second
	millisecond = cluster.Millisecond
)

// Config is what the reconciler knows from the start.
type Config struct {
	// Self is this controller's node.
	Self cluster.NodeID
	// HeartbeatInterval is how often a worker sends a heartbeat at least.
	HeartbeatInterval cluster.Time
	// WorkerLease is how long a worker goes on without an answer.
	WorkerLease cluster.Time
	// CancelDeadline is how soon a cancelled job's tasks must have stopped.
	CancelDeadline cluster.Time
	// CloudListLag is how far the cloud's machine list may be behind.
	CloudListLag cluster.Time
	// BootTimeoutFactor times the boot time of its type is how long a machine has for
	// booting.
	BootTimeoutFactor float64
	// ScaleInIdleTime is how long a machine is idle before it is released.
	ScaleInIdleTime cluster.Time
}

// ShardOwnership tells what this controller may do as the owner of a shard.
type ShardOwnership interface {
	// CanAnswerWorkers tells whether it may still answer the shard's workers.
	CanAnswerWorkers(shard *state.Shard) bool
	// CanStartTasks tells whether it may send starts to the shard's machines.
	CanStartTasks(shard *state.Shard) bool
}

// MachineRecords writes and checks the records of machines.
type MachineRecords interface {
	// WriteMachine has the record that lists a machine written.
	WriteMachine(machine *state.Machine, priority writequeue.Priority)
	// RaiseToken has a higher fencing token of a machine written.
	RaiseToken(machine *state.Machine)
	// CheckOwner finds out whether another shard has taken over a machine.
	CheckOwner(machine *state.Machine)
}

// JobRecords writes the records of jobs.
type JobRecords interface {
	// WriteJob has a job's record written.
	WriteJob(job *state.Job, priority writequeue.Priority)
}

// Runtimes compares run times with those of completed tasks.
type Runtimes interface {
	// RecordRuntime takes in the run time of a task that has completed.
	RecordRuntime(machine *state.Machine, assignment *state.Assignment)
	// ExpectedRemainingSeconds is how long a task is expected to run on.
	ExpectedRemainingSeconds(assignment *state.Assignment) float64
	// HandleSlowMachine drains a machine whose tasks take much longer than elsewhere.
	HandleSlowMachine(machine *state.Machine)
}

// WorkerReachability keeps in view whether workers reach this controller.
type WorkerReachability interface {
	// RecordHeartbeat records a heartbeat of any worker.
	RecordHeartbeat()
	// RecordOwnedHeartbeat records a new heartbeat of an owned machine.
	RecordOwnedHeartbeat()
	// HasOwnedHeartbeatWithin tells whether an owned machine was heard within a time.
	HasOwnedHeartbeatWithin(duration cluster.Time) bool
}

// ProcessHealth tells how the process is served by the machine it runs on.
type ProcessHealth interface {
	// IsOverloaded tells whether the process is short of processor time.
	IsOverloaded() bool
	// ResumedAt is when the last process pause ended; 0: there was none.
	ResumedAt() cluster.Time
}

// Metrics counts what the reconciler does.
type Metrics interface {
	// AddMachineScans counts a look at each of some machines.
	AddMachineScans(machines []*state.Machine)
	// AddCommandPush counts a call to a worker.
	AddCommandPush()
}

// Dependencies are the other parts of the controller that the reconciler uses.
type Dependencies struct {
	Ownership    ShardOwnership
	Machines     MachineRecords
	Jobs         JobRecords
	Runtimes     Runtimes
	Reachability WorkerReachability
	Process      ProcessHealth
	Directory    MachineDirectory
	Registrar    MachineRegistrar
	Releaser     MachineReleaser
	Spot         SpotHistory
	Metrics      Metrics

	// IsIsolated tells whether this controller has had neither the state service nor
	// any other controller for so long that another may own its shards.
	IsIsolated func() bool
	// RequestScheduling has tasks placed soon, as something has changed that
	// scheduling depends on.
	RequestScheduling func()
}

// Reconciler compares the workers with the records.
type Reconciler struct {
	*shared

	Heartbeats  *Heartbeats
	Commands    *Commands
	Stops       *Stops
	Orphans     *Orphans
	Maintenance *Maintenance
}

// shared is what all parts of the reconciler use.
type shared struct {
	loop   *eventloop.Loop
	state  *state.State
	queue  *writequeue.Queue
	config Config
	deps   Dependencies
}

// New makes a reconciler. It sets no timers of its own: its periodic methods are
// to be called by the owner of the loop.
func New(loop *eventloop.Loop, st *state.State, queue *writequeue.Queue, config Config, deps Dependencies) *Reconciler {
	s := &shared{loop: loop, state: st, queue: queue, config: config, deps: deps}
	r := &Reconciler{shared: s}
	r.Commands = &Commands{shared: s, reconciler: r}
	r.Stops = &Stops{shared: s, reconciler: r}
	r.Maintenance = &Maintenance{shared: s, commands: r.Commands}
	r.Orphans = newOrphans(s, r)
	r.Heartbeats = &Heartbeats{shared: s, reconciler: r}
	return r
}

// Configure takes over other settings.
func (r *Reconciler) Configure(config Config) { r.config = config }

// redirect sends a worker to another controller; empty: to any other. This controller
// is not named, as the worker would come back at once.
func (s *shared) redirect(request messages.RequestID, to cluster.NodeID) {
	if to == s.config.Self {
		to = ""
	}
	response := &messages.HeartbeatResponse{RedirectTo: to}
	s.loop.Emit(messages.Respond{Request: request, Status: messages.ReplyMisdirected, Heartbeat: response})
}

// respondUnavailable tells a worker to ask again later.
func (s *shared) respondUnavailable(request messages.RequestID) {
	s.loop.Emit(messages.Respond{Request: request, Status: messages.ReplyUnavailable})
}
