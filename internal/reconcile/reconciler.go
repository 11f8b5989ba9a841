// Package reconcile reconciles the tasks on the workers with the stored records of
// their machines. It compares each heartbeat with the records, responds with commands,
// pushes urgent commands, stops tasks, releases machines that are unresponsive or not
// needed, and registers machines that no record lists.
//
// A heartbeat may be delayed or duplicated, and commands of a previous owner may still
// be in flight to the worker. The package therefore maintains these invariants:
//
//   - The status in a heartbeat is applied only if it is newer than the last one applied.
//   - A task missing from a heartbeat is proven absent only if the worker has
//     acknowledged the current owner's fencing token (absence.go).
//   - A start is sent only after the record that lists the task is stored. The response
//     to a heartbeat is held briefly for this (heldheartbeats.go).
//   - A pushed start of unknown outcome is in doubt until the worker acknowledges a
//     higher token, which proves that the start can no longer be executed (push.go,
//     token.go).
//   - An ended attempt is acknowledged only under a token that is higher than those of all
//     pushed starts, because the worker forgets the attempt and a copy of its start may
//     still arrive (acknowledgements.go).
//   - The completion of a task is acknowledged to its worker only after it is stored.
//
// The type Stops lists the reasons for which a task is stopped. A task also ends when
// its machine is released, for the reasons in maintenance.go and unresponsive.go.
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

// Config is the configuration of a Reconciler.
type Config struct {
	// Self is this controller's node.
	Self cluster.NodeID
	// HeartbeatInterval is the maximum time between two heartbeats of a worker.
	HeartbeatInterval cluster.Time
	// WorkerLease is how long a worker runs its tasks without a response to its
	// heartbeats.
	WorkerLease cluster.Time
	// CancelDeadline is the time within which the tasks of a cancelled job must stop.
	CancelDeadline cluster.Time
	// CloudListLag is the maximum lag of the cloud's machine list.
	CloudListLag cluster.Time
	// BootTimeoutFactor is multiplied by the boot time of a machine type. The boot timeout
	// is the product plus bootMarginSeconds.
	BootTimeoutFactor float64
	// ScaleInIdleTime is how long a machine that is not cordoned must be idle before it is
	// released as surplus.
	ScaleInIdleTime cluster.Time
}

// ShardOwnership determines what this controller may do as the owner of a shard.
type ShardOwnership interface {
	// CanAnswerWorkers reports whether the controller may answer the shard's workers.
	CanAnswerWorkers(shard *state.Shard) bool
	// CanStartTasks reports whether the controller may send starts to the shard's
	// machines.
	CanStartTasks(shard *state.Shard) bool
}

// MachineRecords writes and checks the records of machines.
type MachineRecords interface {
	// WriteMachine queues a write of the record that lists a machine.
	WriteMachine(machine *state.Machine, priority writequeue.Priority)
	// RaiseToken begins to store a higher fencing token for a machine.
	RaiseToken(machine *state.Machine)
	// CheckOwner begins to check whether a machine was transferred to another shard.
	CheckOwner(machine *state.Machine)
}

// JobRecords writes the records of jobs.
type JobRecords interface {
	// WriteJob queues a write of a job's record.
	WriteJob(job *state.Job, priority writequeue.Priority)
}

// Runtimes estimates the run times of tasks from those of completed tasks.
type Runtimes interface {
	// RecordRuntime adds the run time of a completed task to the statistics.
	RecordRuntime(machine *state.Machine, assignment *state.Assignment)
	// ExpectedRemainingSeconds returns the expected remaining run time of a task.
	ExpectedRemainingSeconds(assignment *state.Assignment) float64
	// DrainIfSlow drains a machine if it is much slower than others or repeatedly has
	// stragglers.
	DrainIfSlow(machine *state.Machine)
}

// WorkerReachability tracks whether workers can reach this controller.
type WorkerReachability interface {
	// RecordHeartbeat records a heartbeat from any worker.
	RecordHeartbeat()
	// RecordOwnedHeartbeat records a new heartbeat from an owned machine.
	RecordOwnedHeartbeat()
	// HasOwnedHeartbeatWithin reports whether an owned machine has sent a heartbeat
	// within the given time.
	HasOwnedHeartbeatWithin(duration cluster.Time) bool
}

// ProcessHealth detects overload and pauses of this process.
type ProcessHealth interface {
	// IsOverloaded reports whether the process is short of CPU time.
	IsOverloaded() bool
	// ResumedAt returns when the last pause of the process ended, or 0 if there was none.
	ResumedAt() cluster.Time
}

// Metrics counts operations of the reconciler.
type Metrics interface {
	// AddMachineScans counts a scan of the given machines.
	AddMachineScans(machines []*state.Machine)
	// AddCommandPush counts a push of commands to a worker.
	AddCommandPush()
	// AddStartInDoubt counts a push with starts whose outcome is unknown.
	AddStartInDoubt()
	// AddTokenAdvance counts a fencing token that was raised without a write.
	AddTokenAdvance()
}

// Dependencies are the other components of the controller that the reconciler uses.
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

	// IsIsolated reports whether this controller has reached neither the store nor any
	// other controller for so long that another controller may own its shards.
	IsIsolated func() bool
	// RequestScheduling requests a scheduling run after a change that affects
	// scheduling.
	RequestScheduling func()
}

// Reconciler reconciles the tasks on the workers with the stored records.
type Reconciler struct {
	*shared

	Heartbeats  *Heartbeats
	Commands    *Commands
	Stops       *Stops
	Orphans     *Orphans
	Maintenance *Maintenance
}

// shared holds what all components of the reconciler use.
type shared struct {
	loop   *eventloop.Loop
	state  *state.State
	queue  *writequeue.Queue
	config Config
	deps   Dependencies
}

// New returns a Reconciler. The caller must call its periodic methods; New starts no
// timers.
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

// Configure replaces the configuration.
func (r *Reconciler) Configure(config Config) { r.config = config }

// redirect answers a heartbeat with a redirect to the given controller, or to any other
// controller if to is empty or this controller.
func (s *shared) redirect(request messages.RequestID, to cluster.NodeID) {
	if to == s.config.Self {
		to = ""
	}
	response := &messages.HeartbeatResponse{RedirectTo: to}
	s.loop.Emit(messages.Respond{Request: request, Status: messages.StatusMisdirected, Heartbeat: response})
}

// respondUnavailable rejects a heartbeat with StatusUnavailable, so that the worker retries
// later.
func (s *shared) respondUnavailable(request messages.RequestID) {
	s.loop.Emit(messages.Respond{Request: request, Status: messages.StatusUnavailable})
}
