package scheduling

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/membership"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// fixture is a scheduler with two shards, the first of which is owned, and the team red
// with a quota of 100 CPUs. It implements the scheduler's dependencies as fakes.
type fixture struct {
	*Scheduler
	loop                 *eventloop.Loop
	state                *state.State
	shard                *state.Shard // owned
	config               Config
	spotInterruptionRate float64 // per second
	written              []*state.Machine
	regrouped            [][]*state.Machine
	acquired             []string // keys of the acquired groups
	ownershipChanges     int
	recordFull           bool // the records have no room for further tasks
}

func newFixture() *fixture {
	f := &fixture{
		loop: eventloop.New(),
		state: state.New([]cluster.NodeID{"n0", "n1"}, []cluster.Team{
			{Name: "red", QuotaLimit: cluster.Resources{CPU: 100 * cpu}},
		}),
		config: Config{HeartbeatInterval: 5 * second, ShortJobWeight: 32, FirstTaskTarget: 240 * second},
	}
	f.shard = f.state.Shards[0]
	f.shard.Owned, f.shard.Ready = true, true
	f.Scheduler = New(f.loop, f.state, f.config, Dependencies{
		Stops:                f,
		Records:              f,
		Groups:               f,
		Store:                f,
		Ownership:            f,
		Peers:                f,
		SpotInterruptionRate: func() float64 { return f.spotInterruptionRate },
		CountMachineScans:    func([]*state.Machine) {},
		StretchDelay:         func(delay cluster.Time) cluster.Time { return delay },
	})
	f.state.MachineTypes["small"] = cluster.MachineType{
		Name:             "small",
		Capacity:         cluster.Resources{CPU: 4 * cpu, Memory: 16 * cpu},
		Zones:            []string{"a"},
		FetchGBPerSecond: 0.25,
	}
	f.loop.Begin(0, 1_000_000)
	return f
}

// Preempt implements TaskStopper.
func (f *fixture) Preempt(_ *state.Machine, assignment *state.Assignment) {
	assignment.StopRequested = true
}

// MoveOffSlowMachine implements TaskStopper.
func (f *fixture) MoveOffSlowMachine(_ *state.Machine, assignment *state.Assignment) {
	assignment.StopRequested = true
}

// Drain implements TaskStopper.
func (f *fixture) Drain(machine *state.Machine) { machine.Draining = true }

// HasRoom implements MachineRecords.
func (f *fixture) HasRoom(*state.MachineGroup, *state.Job) bool { return !f.recordFull }

// WriteMachine implements MachineRecords.
func (f *fixture) WriteMachine(machine *state.Machine, _ writequeue.Priority) {
	f.written = append(f.written, machine)
}

// TargetGroupSize implements MachineGroups.
func (f *fixture) TargetGroupSize() int { return 50 }

// Regroup implements MachineGroups. It always fails.
func (f *fixture) Regroup(_ *state.Shard, machines []*state.Machine, _ *state.MachineGroup, _ writequeue.Priority, done func(*state.MachineGroup)) {
	f.regrouped = append(f.regrouped, machines)
	done(nil)
}

// AcquireGroup implements MachineGroups.
func (f *fixture) AcquireGroup(_ *state.Shard, key string, _ cluster.ModRevision) {
	f.acquired = append(f.acquired, key)
}

// Changes implements Ownership.
func (f *fixture) Changes() int { return f.ownershipChanges }

// Peers implements Peers.
func (f *fixture) Peers() []*membership.Peer { return nil }

// IsUnavailableFor implements Store.
func (f *fixture) IsUnavailableFor(cluster.Time) bool { return false }

// addMachine adds a machine of the type small, in a group of its own, whose worker has
// acknowledged the fencing token.
func (f *fixture) addMachine(id cluster.MachineID) *state.Machine {
	group := &state.MachineGroup{ID: "g-" + string(id), Machines: map[cluster.MachineID]*state.Machine{}, NextWritePriority: writequeue.PriorityCount}
	f.state.Groups[group.ID] = group
	entry := grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a"}}
	machine := state.NewMachine(group, entry, 5, f.loop.Now())
	machine.TokenAcknowledged = true
	machine.Usage.ByTeam = f.shard.Usage
	group.Machines[id] = machine
	f.state.Machines[id] = machine
	f.shard.Machines = append(f.shard.Machines, machine)
	return machine
}

// addJob adds a job of the team red. Each of its tasks requests all CPUs of a machine.
func (f *fixture) addJob(spec cluster.JobSpec) *state.Job {
	spec.Team, spec.ResourceRequest = "red", cluster.Resources{CPU: 4 * cpu}
	job := state.NewJob(spec, f.shard.ID, 0, f.loop.Now())
	f.state.AddOwnedJob(job)
	return job
}

// addRunningTask adds the job's next pending task to a machine as a running task.
func (f *fixture) addRunningTask(job *state.Job, machine *state.Machine) *state.Assignment {
	task := cluster.TaskID{Job: job.Spec.ID, Index: job.NextPendingTask()}
	assignment := &state.Assignment{
		Task:            task,
		Job:             job,
		ResourceRequest: job.Spec.ResourceRequest,
		MachineID:       machine.ID,
		Phase:           state.PhaseAcknowledged,
		State:           cluster.Running,
	}
	machine.AddAssignment(assignment)
	job.SetAssigned(task.Index, assignment)
	return assignment
}
