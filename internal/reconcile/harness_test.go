package reconcile

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// testAttempt is the attempt number of every task assigned by a test.
const testAttempt = cluster.Attempt(7)

// harness is a reconciler with its event loop, state and write queue. It is also a fake of
// the reconciler's dependencies that records some of their calls.
type harness struct {
	*Reconciler
	t     *testing.T
	queue *writequeue.Queue

	isolated           bool
	cannotAnswer       bool
	cannotStart        bool
	overloaded         bool
	receivesHeartbeats bool
	resumedAt          cluster.Time
	remainingSeconds   float64                 // of every task
	recorded           *state.RecordedMachines // result of reading the records; nil if they can't be read
	listingShard       cluster.ShardID         // shard whose record lists the recorded machines

	releases      []ReleaseReason
	interruptions int
	raisedTokens  []cluster.MachineID
	checkedOwners []cluster.MachineID
	writes        []writequeue.Priority // of the writes of machines' records
	recordReads   int                   // calls of ReadRecordedMachines
	registered    []cluster.MachineID
}

// newHarness returns the reconciler of one of three controllers. The controller owns shard
// 0, and there are one team and one machine type.
func newHarness(t *testing.T) *harness {
	t.Helper()
	nodes := []cluster.NodeID{"n0", "n1", "n2"}
	h := &harness{t: t}
	loop := eventloop.New()
	st := state.New(nodes, []cluster.Team{{Name: "red"}})
	st.MachineTypes["small"] = cluster.MachineType{Name: "small", BootSeconds: 10}
	shard := st.Shards[0]
	shard.Owned, shard.Ready, shard.Owner = true, true, "n0"
	h.queue = writequeue.New(loop, writequeue.Config{
		InstanceID:    "b0",
		RequestRPS:    100,
		WriteRPS:      100,
		BudgetShare:   1,
		MaxTxnOps:     12,
		Controllers:   len(nodes),
		ShareByDemand: func(limit, _ float64, _ int) float64 { return limit },
	}, claims{st})
	config := Config{
		Self:              "n0",
		HeartbeatInterval: 5 * second,
		WorkerLease:       26 * second,
		CancelDeadline:    60 * second,
		CloudListLag:      8 * second,
		BootTimeoutFactor: 1.8,
		ScaleInIdleTime:   30 * second,
	}
	h.Reconciler = New(loop, st, h.queue, config, Dependencies{
		Ownership:         h,
		Machines:          h,
		Jobs:              h,
		Runtimes:          h,
		Reachability:      h,
		Process:           h,
		Directory:         h,
		Registrar:         h,
		Releaser:          h,
		Spot:              h,
		Metrics:           h,
		IsIsolated:        func() bool { return h.isolated },
		RequestScheduling: func() {},
	})
	h.setTime(100 * second)
	return h
}

func (h *harness) CanAnswerWorkers(*state.Shard) bool                 { return !h.cannotAnswer }
func (h *harness) CanStartTasks(*state.Shard) bool                    { return !h.cannotStart }
func (h *harness) WriteJob(*state.Job, writequeue.Priority)           {}
func (h *harness) RecordRuntime(*state.Machine, *state.Assignment)    {}
func (h *harness) ExpectedRemainingSeconds(*state.Assignment) float64 { return h.remainingSeconds }
func (h *harness) DrainIfSlow(*state.Machine)                         {}
func (h *harness) RecordHeartbeat()                                   {}
func (h *harness) RecordOwnedHeartbeat()                              {}
func (h *harness) HasOwnedHeartbeatWithin(cluster.Time) bool          { return h.receivesHeartbeats }
func (h *harness) IsOverloaded() bool                                 { return h.overloaded }
func (h *harness) ResumedAt() cluster.Time                            { return h.resumedAt }
func (h *harness) TargetGroupSize() int                               { return 10 }
func (h *harness) ReleaseBeforeRecorded(*state.Machine)               {}
func (h *harness) ScheduleCall()                                      {}
func (h *harness) RecordInterruption()                                { h.interruptions++ }
func (h *harness) AddServed(cluster.Time)                             {}
func (h *harness) AddMachineScans([]*state.Machine)                   {}
func (h *harness) AddCommandPush()                                    {}
func (h *harness) AddStartInDoubt()                                   {}
func (h *harness) AddTokenAdvance()                                   {}

func (h *harness) RecentShardOf(cluster.MachineID, cluster.Time) (cluster.ShardID, bool) {
	return 0, false
}

func (h *harness) LastShardOf(cluster.MachineID) (cluster.ShardID, bool) {
	return h.listingShard, true
}

func (h *harness) ReadRecordedMachines(handle func(*state.RecordedMachines)) {
	h.recordReads++
	handle(h.recorded)
}

func (h *harness) RegisterMachines(_ *state.Shard, machines []grouprecord.Machine, done func()) {
	for i := range machines {
		h.registered = append(h.registered, machines[i].ID)
	}
	done()
}

func (h *harness) WriteMachine(_ *state.Machine, priority writequeue.Priority) {
	h.writes = append(h.writes, priority)
}

func (h *harness) RaiseToken(machine *state.Machine) {
	if machine.BeginTokenRaise() {
		h.raisedTokens = append(h.raisedTokens, machine.ID)
	}
}

func (h *harness) CheckOwner(machine *state.Machine) {
	h.checkedOwners = append(h.checkedOwners, machine.ID)
}

func (h *harness) Release(machine *state.Machine, reason ReleaseReason) {
	machine.Releasing = true
	h.releases = append(h.releases, reason)
}

func (h *harness) SurplusPredicate() func(*state.Machine) bool {
	return func(*state.Machine) bool { return true }
}

// claims implements writequeue.ShardOwnership with the claims in a state.
type claims struct{ state *state.State }

func (c claims) ClaimOf(id cluster.ShardID) writequeue.Claim {
	shard := c.state.Shards[id]
	return writequeue.Claim{Key: shard.Key(), ModRevision: shard.ModRevision, Owned: shard.Owned}
}

func (c claims) HandleDeposed(cluster.ShardID) {}

func (c claims) HandleStored(writequeue.StoredTransaction) {}

// setTime begins an event loop step at the given time.
func (h *harness) setTime(now cluster.Time) { h.loop.Begin(now, h.loop.WallTime()) }

// runFor advances the time by a duration, runs the timers that are due and returns the
// effects.
func (h *harness) runFor(duration cluster.Time) []messages.Effect {
	var effects []messages.Effect
	for end := h.loop.Now() + duration; h.loop.Now() < end; {
		h.setTime(h.loop.Now() + 50*millisecond)
		h.loop.RunTimers()
		effects = append(effects, h.loop.Effects()...)
	}
	return effects
}

// pushes returns the pushes of the current step.
func (h *harness) pushes() []messages.PushCommands {
	var pushes []messages.PushCommands
	for _, effect := range h.loop.Effects() {
		if push, ok := effect.(messages.PushCommands); ok {
			pushes = append(pushes, push)
		}
	}
	return pushes
}

// addJob adds a job with one task to the owned shard.
func (h *harness) addJob() *state.Job {
	const id = cluster.JobID("j-1")
	spec := cluster.JobSpec{ID: id, Team: "red", Tasks: 1, ResourceRequest: cluster.Resources{CPU: 1_000_000}}
	job := state.NewJob(spec, 0, 0, h.loop.Now())
	h.state.AddOwnedJob(job)
	h.state.Jobs.Known[id] = &state.KnownJob{ShardID: 0, Tasks: 1, Team: "red"}
	return job
}

// addMachine adds a machine without tasks whose worker has acknowledged its token.
func (h *harness) addMachine() *state.Machine {
	group := h.state.AddGroup(h.state.Shards[0], "g", 31)
	entry := grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a"}, Address: "m-1"}
	machine := h.state.AddMachine(group, entry, 31, h.loop.Now())
	machine.TokenAcknowledged, machine.Incarnation, machine.SequenceNumber = true, 1, 1
	return machine
}

// assign assigns the task of a job to a machine.
func (h *harness) assign(machine *state.Machine, job *state.Job, phase state.AssignmentPhase) *state.Assignment {
	assignment := &state.Assignment{
		Task:            cluster.TaskID{Job: job.Spec.ID, Index: 0},
		Job:             job,
		MachineID:       machine.ID,
		Attempt:         testAttempt,
		ResourceRequest: job.Spec.ResourceRequest,
		Phase:           phase,
		State:           cluster.Running,
	}
	machine.AddAssignment(assignment)
	job.SetAssigned(0, assignment)
	return assignment
}

// addRunningMachine adds a machine that runs the task of a job.
func (h *harness) addRunningMachine(job *state.Job) (*state.Machine, *state.Assignment) {
	machine := h.addMachine()
	return machine, h.assign(machine, job, state.PhaseAcknowledged)
}

// statusWithCurrentToken returns a status that lists the given tasks. It has the machine's
// current incarnation and token, so it may prove that a task that it omits is absent.
func statusWithCurrentToken(machine *state.Machine, sequence cluster.SequenceNumber, tasks ...cluster.TaskStatus) *cluster.HeartbeatStatus {
	return &cluster.HeartbeatStatus{
		Machine:          machine.ID,
		Addr:             machine.Address,
		Incarnation:      machine.Incarnation,
		SequenceNumber:   sequence,
		FencingToken:     machine.Token,
		PreemptionNotice: -1,
		Tasks:            tasks,
	}
}
