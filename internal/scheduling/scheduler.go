// Package scheduling assigns pending tasks to machines, preempts running tasks for
// others, and transfers machines between shards.
//
// The functions that order jobs (RankJob) and the candidate machines for a job
// (Candidate.Compare) are pure. The other types work on the state of the owned shards:
//
//   - Trigger decides when Scheduler runs a scheduling round for each owned shard.
//   - JobQueue orders a shard's jobs and lists their pending tasks.
//   - Eligibility and SpotPreference decide which machines a job may and should use.
//   - Runtimes predicts run times. Stragglers detects slow machines and tasks.
//   - ShardLoads and Rebalancer divide the machines among the shards according to
//     package fairshare.
//
// Invariants: a task is assigned only within its team's quota, and only to a machine
// whose worker has acknowledged the fencing token and whose group is not offered to
// another shard. Nothing is assigned once the store, the external consensus-backed
// key-value store, has been unavailable for longer than maxStoreOutage. This package only
// plans assignments; a task is started once its assignment is stored.
package scheduling

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/membership"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	second      = cluster.Second
	millisecond = cluster.Millisecond
)

// Config holds the settings of the scheduler.
type Config struct {
	// HeartbeatInterval is the time between two heartbeats of a worker.
	HeartbeatInterval cluster.Time
	// SLOs holds the service-level objectives of all classes of jobs.
	SLOs []cluster.SLO
	// ShortJobWeight is multiplied by the time that a job's pending tasks would occupy
	// the whole shard. The product delays the job's latest start in the queue order.
	ShortJobWeight float64
	// FirstTaskTarget is the time within which a job's first task should start. After
	// half of it, the task is scheduled before all other work.
	FirstTaskTarget cluster.Time
	// SpareCapacityShare is the fraction of its demand that a shard keeps as spare
	// capacity.
	SpareCapacityShare float64
	// MaxTxnOps is the maximum number of changes in a transaction.
	MaxTxnOps int
}

// TaskStopper stops tasks and drains machines.
type TaskStopper interface {
	// Preempt stops a task so that others can use its resources.
	Preempt(machine *state.Machine, assignment *state.Assignment)
	// MoveOffSlowMachine stops a task so that it restarts on another machine.
	MoveOffSlowMachine(machine *state.Machine, assignment *state.Assignment)
	// Drain keeps new tasks away from a machine and releases it once it is idle.
	Drain(machine *state.Machine)
}

// MachineRecords accesses the stored records of the machine groups.
type MachineRecords interface {
	// HasRoom reports whether a group's record can list one more task of a job.
	HasRoom(group *state.MachineGroup, job *state.Job) bool
	// WriteMachine queues a write of the record that lists a machine's tasks.
	WriteMachine(machine *state.Machine, priority writequeue.Priority)
}

// MachineGroups moves machines between groups and shards.
type MachineGroups interface {
	// TargetGroupSize returns the target size of a new group in machines. A new group may be
	// smaller but should not be larger.
	TargetGroupSize() int
	// Regroup moves machines into the target group, or into a new one if target is nil.
	// It then calls done with the group, or with nil if the machines could not be moved.
	Regroup(shard *state.Shard, machines []*state.Machine, target *state.MachineGroup, priority writequeue.Priority, done func(*state.MachineGroup))
	// AcquireGroup moves a group from another shard to a shard, provided that the
	// group's record still has the given mod revision (compare-and-swap).
	AcquireGroup(shard *state.Shard, key string, revision cluster.ModRevision)
}

// Ownership observes the set of owned shards.
type Ownership interface {
	// Changes returns how many times the set of owned shards has changed.
	Changes() int
}

// Peers lists the other controllers.
type Peers interface {
	Peers() []*membership.Peer
}

// Store reports the availability of the store.
type Store interface {
	// IsUnavailableFor reports whether the store has been unavailable for longer than
	// duration.
	IsUnavailableFor(duration cluster.Time) bool
}

// Dependencies holds the other components of the controller that the scheduler uses.
type Dependencies struct {
	Stops     TaskStopper
	Records   MachineRecords
	Groups    MachineGroups
	Store     Store
	Ownership Ownership
	Peers     Peers
	// SpotInterruptionRate returns the expected number of interruptions of a spot machine
	// per second.
	SpotInterruptionRate func() float64
	// CountMachineScans adds the number of given machines to the count of machine scans in
	// the periodic log line.
	CountMachineScans func([]*state.Machine)
	// StretchDelay returns the given delay, lengthened while the process is overloaded.
	StretchDelay func(cluster.Time) cluster.Time
}

// Scheduler assigns pending tasks to machines. Its exported components are also used by
// other packages of the controller.
type Scheduler struct {
	// Trigger decides when scheduling runs.
	Trigger *Trigger
	// Runtimes predicts how long tasks run.
	Runtimes *Runtimes
	// Stragglers drains machines that are slow or have stragglers.
	Stragglers *Stragglers
	// Spot decides which jobs should use on-demand machines.
	Spot *SpotPreference
	// Eligibility decides which machines a job may use.
	Eligibility *Eligibility
	// Queue orders the jobs of a shard.
	Queue *JobQueue
	// Loads computes the capacity and the demand of the shards.
	Loads *ShardLoads
	// Rebalancer moves machines between shards.
	Rebalancer *Rebalancer

	shared *shared
}

// shared holds what all components of the scheduler use.
type shared struct {
	loop   *eventloop.Loop
	state  *state.State
	config Config
	deps   Dependencies
}

// New returns a scheduler for which no run is requested. It sets no timers: the owner of the
// loop must call RunIfRequested in each event loop step.
func New(loop *eventloop.Loop, st *state.State, config Config, deps Dependencies) *Scheduler {
	base := &shared{loop: loop, state: st, config: config, deps: deps}
	s := &Scheduler{shared: base, Trigger: &Trigger{}}
	s.Runtimes = newRuntimes(loop)
	s.Stragglers = &Stragglers{shared: base}
	s.Spot = &SpotPreference{shared: base, runtimes: s.Runtimes}
	s.Eligibility = &Eligibility{shared: base, spot: s.Spot}
	s.Queue = &JobQueue{shared: base, runtimes: s.Runtimes, spot: s.Spot}
	s.Loads = &ShardLoads{shared: base, queue: s.Queue}
	s.Rebalancer = &Rebalancer{
		shared:      base,
		trigger:     s.Trigger,
		runtimes:    s.Runtimes,
		eligibility: s.Eligibility,
		queue:       s.Queue,
		loads:       s.Loads,
		attempted:   attemptedTransfers{},
	}
	return s
}

// Configure replaces the settings.
func (s *Scheduler) Configure(config Config) { s.shared.config = config }

// machineCapacity returns the total resources of a machine, or zero if its type is
// unknown.
func (s *shared) machineCapacity(machine *state.Machine) cluster.Resources {
	return s.state.MachineTypes[machine.MachineType].Capacity
}

// allocatable returns what further tasks can use on a machine.
func (s *shared) allocatable(machine *state.Machine) cluster.Allocatable {
	return machine.Allocatable(s.machineCapacity(machine))
}

// recordCanHaveRoom reports whether the record of a machine's group can list one more task of
// a job, now or after the group was split. A group of one machine can't be split.
func (s *shared) recordCanHaveRoom(job *state.Job, machine *state.Machine) bool {
	return len(machine.Group.Machines) > 1 || s.deps.Records.HasRoom(machine.Group, job)
}

// secondsSince returns the time elapsed since start, in seconds.
func (s *shared) secondsSince(start cluster.Time) float64 {
	return (s.loop.Now() - start).Seconds()
}
