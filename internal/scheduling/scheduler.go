// Package scheduling decides which pending task is started on which machine, which
// tasks are preempted for others, and which machines the owned shards give up to each
// other and to those of other controllers.
//
// The order of the jobs (rank.go) and of the machines for a job (candidates.go) are pure
// functions of facts. The other parts gather the facts from the state of the shards:
//
//   - Trigger says when to schedule, the Scheduler's rounds do it (assign.go,
//     preempt.go).
//   - JobQueue orders a shard's jobs and lists what waits for machines.
//   - Eligibility and SpotPreference say which machines a job may and should use.
//   - RunTimes and Stragglers learn how long tasks run, and find what takes too long.
//   - ShardLoads and Rebalancer split the machines among the shards by package
//     fairshare.
//
// Invariants: a task is assigned only within its team's quota, and only to a machine
// whose worker has acknowledged the fencing token and whose group is not offered to
// another shard; nothing is assigned while the state service has failed for long. An
// assignment is only planned here: it is started once its record is stored.
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

// Config is what the scheduler knows from the start.
type Config struct {
	// HeartbeatInterval is how often workers report.
	HeartbeatInterval cluster.Time
	// SLOs are the objectives of all classes of jobs.
	SLOs []cluster.SLO
	// ShortJobWeight is how many times a job's latest start is moved back by what its
	// remaining work would take all of its shard.
	ShortJobWeight float64
	// FirstTaskTarget is how soon a job's first task should start: it goes before all
	// others after half of this.
	FirstTaskTarget cluster.Time
	// SpareCapacityShare is which share of its demand a shard keeps as spare capacity.
	SpareCapacityShare float64
	// MaxTxnOps is how many changes a transaction may make.
	MaxTxnOps int
}

// TaskStopper stops tasks and empties machines.
type TaskStopper interface {
	// Preempt stops a task so that others get its room.
	Preempt(machine *state.Machine, assignment *state.Assignment)
	// MoveOffSlowMachine stops a task so that it starts again on another machine.
	MoveOffSlowMachine(machine *state.Machine, assignment *state.Assignment)
	// Drain lets a machine run empty, so that it is released.
	Drain(machine *state.Machine)
}

// MachineRecords is what the scheduler needs of the records of the machine groups.
type MachineRecords interface {
	// HasRoom tells whether a group's record can list one more task of a job.
	HasRoom(group *state.MachineGroup, job *state.Job) bool
	// WriteMachine stores the record that lists a machine's tasks.
	WriteMachine(machine *state.Machine, priority writequeue.Priority)
}

// MachineGroups moves machines between groups and shards.
type MachineGroups interface {
	// TargetGroupSize is how many machines a group should have at most.
	TargetGroupSize() int
	// Regroup moves machines into a group, or into one of their own, and then calls
	// done with it, or with nil when that was not possible.
	Regroup(shard *state.Shard, machines []*state.Machine, target *state.MachineGroup, priority writequeue.Priority, done func(*state.MachineGroup))
	// AcquireGroup moves a group of another shard to a shard, on condition that its
	// record is still that of a revision.
	AcquireGroup(shard *state.Shard, key string, revision cluster.ModRevision)
}

// Ownership tells which shards are owned.
type Ownership interface {
	// Changes counts the changes of the set of owned shards.
	Changes() int
}

// Peers lists the other controllers.
type Peers interface {
	Peers() []*membership.Peer
}

// Store tells whether records can be stored.
type Store interface {
	// IsUnavailableFor tells whether the state service has failed for longer than a
	// time.
	IsUnavailableFor(duration cluster.Time) bool
}

// Dependencies are the other parts of the controller that the scheduler uses.
type Dependencies struct {
	Stops     TaskStopper
	Records   MachineRecords
	Groups    MachineGroups
	Store     Store
	Ownership Ownership
	Peers     Peers
	// SpotInterruptionRate is how often a spot machine is lost, per second.
	SpotInterruptionRate func() float64
	// CountMachineScans counts a look at each of some machines, for the periodic log
	// line.
	CountMachineScans func([]*state.Machine)
	// StretchDelay lengthens a pause while the process is overloaded.
	StretchDelay func(cluster.Time) cluster.Time
}

// Scheduler assigns pending tasks to machines. Its parts can be asked for what the
// other parts of the controller need to know.
type Scheduler struct {
	// Trigger says when tasks are assigned.
	Trigger *Trigger
	// RunTimes estimates how long tasks run.
	RunTimes *RunTimes
	// Stragglers replaces slow machines and restarts tasks that take too long.
	Stragglers *Stragglers
	// Spot weighs spot machines against on-demand ones.
	Spot *SpotPreference
	// Eligibility tells which machines a job may use.
	Eligibility *Eligibility
	// Queue orders the pending jobs of a shard.
	Queue *JobQueue
	// Loads tells what the shards have and need.
	Loads *ShardLoads
	// Rebalancer splits the machines among the shards.
	Rebalancer *Rebalancer

	shared *shared
}

// shared is what all parts of the scheduler use.
type shared struct {
	loop   *eventloop.Loop
	state  *state.State
	config Config
	deps   Dependencies
}

// New makes a scheduler. It sets no timers of its own: its periodic methods are to
// be called by the owner of the loop.
func New(loop *eventloop.Loop, st *state.State, config Config, deps Dependencies) *Scheduler {
	base := &shared{loop: loop, state: st, config: config, deps: deps}
	s := &Scheduler{shared: base, Trigger: &Trigger{}}
	s.RunTimes = newRunTimes(loop)
	s.Stragglers = &Stragglers{shared: base}
	s.Spot = &SpotPreference{shared: base, runTimes: s.RunTimes}
	s.Eligibility = &Eligibility{shared: base, spot: s.Spot}
	s.Queue = &JobQueue{shared: base, runTimes: s.RunTimes, spot: s.Spot}
	s.Loads = &ShardLoads{shared: base, queue: s.Queue}
	s.Rebalancer = &Rebalancer{
		shared:      base,
		trigger:     s.Trigger,
		runTimes:    s.RunTimes,
		eligibility: s.Eligibility,
		queue:       s.Queue,
		loads:       s.Loads,
		attempted:   attemptedTransfers{},
	}
	return s
}

// Configure takes over other settings.
func (s *Scheduler) Configure(config Config) { s.shared.config = config }

// machineCapacity is what a machine of the type has in all.
func (s *shared) machineCapacity(machine *state.Machine) cluster.Resources {
	return s.state.MachineTypes[machine.MachineType].Capacity
}

// freeResources is what is free on a machine.
func (s *shared) freeResources(machine *state.Machine) cluster.Resources {
	return s.machineCapacity(machine).Minus(machine.UsedResources())
}

// secondsSince is how long ago a time was.
func (s *shared) secondsSince(start cluster.Time) float64 {
	return (s.loop.Now() - start).Seconds()
}
