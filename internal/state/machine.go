package state

import (
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
)

// Machine is a machine of an owned shard.
type Machine struct {
	ID          cluster.MachineID
	ShardID     cluster.ShardID
	Group       *MachineGroup // the group whose record lists the machine
	Address     string
	MachineType string
	Zone        string
	Spot        bool

	OwnedSince        cluster.Time // when this controller acquired the machine
	Booting           bool
	Assignments       map[cluster.TaskID]*Assignment
	Usage             MachineUsage
	RecordedTaskCount int // number of tasks in the stored record
	IdleSince         cluster.Time

	TokenState
	WorkerState
	CommandState
	StartLimits
	RemovalState
	PaceEstimate
}

// NewMachine returns the machine described by an entry of a group's record, owned from
// now on under the given fencing token.
func NewMachine(group *MachineGroup, entry grouprecord.Machine, token cluster.FencingToken, now cluster.Time) *Machine {
	return &Machine{
		ID:          entry.ID,
		ShardID:     group.ShardID,
		Group:       group,
		Address:     entry.Address,
		MachineType: entry.Kind.Type,
		Zone:        entry.Kind.Zone,
		Spot:        entry.Kind.Spot,
		OwnedSince:  now,
		Booting:     entry.Booting,
		IdleSince:   now,
		Assignments: map[cluster.TaskID]*Assignment{},
		TokenState:  TokenState{Token: token, RequiredToken: token, UnacknowledgedSince: now},
		WorkerState: WorkerState{LastHeartbeat: now},
		CommandState: CommandState{
			EndedToAcknowledge: map[TaskAttempt]bool{},
			UnrecordedToStop:   map[TaskAttempt]bool{},
		},
		StartLimits: StartLimits{FailedJobs: map[cluster.JobID]bool{}},
	}
}

// WorkerState is the last reported state of a machine's worker and its pending heartbeat.
type WorkerState struct {
	Incarnation    cluster.Incarnation
	SequenceNumber cluster.SequenceNumber
	LastHeartbeat  cluster.Time

	PendingHeartbeat      messages.RequestID // the heartbeat that awaits a response; 0 if there is none
	PendingSequenceNumber cluster.SequenceNumber
	ResponseDeadline      cluster.Time // latest time for the response
	HeartbeatHeld         bool         // the heartbeat awaits the next scan of held heartbeats

	FieldOverhead      int          // of the last heartbeat; see cluster.FieldOverhead
	OversizedSince     cluster.Time // first of the heartbeats that were rejected as too large since the last accepted one; 0 if there is none
	StatusQueryPending bool
	UntrackedTaskCount int // attempts in the last status that are neither assigned nor in CommandState

	CachedImages []CachedImage // least recently used first
}

// CommandState holds the commands for a worker and the state of their push.
type CommandState struct {
	EndedToAcknowledge map[TaskAttempt]bool // ended attempts whose ends are to be acknowledged to the worker
	UnrecordedToStop   map[TaskAttempt]bool // running attempts that the record does not list
	CommandsLeft       bool                 // more commands were due than fit into the last message
	StartInDoubt       bool                 // a pushed start with unknown outcome may still arrive

	PushQueued   bool // urgent commands are to be pushed at the end of the event loop step
	PushInFlight bool
	LastPushAt   cluster.Time
}

// StartLimits restricts the start of new tasks on a machine.
type StartLimits struct {
	NoStartsBefore   cluster.Time // set after a rejected start
	TaskErrors       int
	FailedJobs       map[cluster.JobID]bool // jobs whose tasks failed on the machine
	Cordoned         bool                   // gets no new tasks; CordonForScaleIn describes an exception
	ScaleInCandidate bool                   // cordoned only because it costs more than others
}

// RemovalState tracks the preemption or release of a machine.
type RemovalState struct {
	Draining             bool
	PreemptionDeadline   cluster.Time // when the cloud preempts the machine
	MissingFromCloudList bool         // not booting, and absent from the cloud's list when the list was last read
	Terminated           bool         // the cloud has terminated the machine, but the stored record may still list it
	Releasing            bool         // to be released to the cloud
	ReleaseConfirmed     bool         // the cloud may be called to release the machine
	ScaleInCallInFlight  bool
}

// PaceEstimate shows whether tasks run longer on a machine than other tasks of their jobs.
type PaceEstimate struct {
	PaceSamples     int     // number of tasks compared with other tasks of their jobs
	RelativePace    float64 // smoothed ratio of the tasks' run times to the means of their jobs; above 1 is slow
	StragglerChecks int     // number of checks that found a straggler; never reset
}

// Kind returns the machine's type and zone, and whether it is a spot machine.
func (m *Machine) Kind() grouprecord.Kind {
	return grouprecord.Kind{Type: m.MachineType, Zone: m.Zone, Spot: m.Spot}
}

// TaskCount returns the number of the machine's assignments, including those of tasks that
// have ended.
func (m *Machine) TaskCount() int { return len(m.Assignments) }

// AddAssignment adds an assignment to the machine and to the assignment's job. It replaces
// the machine's assignment of the same task, if any.
func (m *Machine) AddAssignment(a *Assignment) {
	if old := m.Assignments[a.Task]; old != nil { // the record lists the task twice
		m.Usage.Remove(old)
	}
	m.Assignments[a.Task] = a
	a.Job.ListedAssignments[a] = true
	m.Usage.Add(a)
}

// RemoveAssignment removes an assignment after a record without it has been stored. If the
// task has ended, it adds the attempt to EndedToAcknowledge. The job is not changed.
// RemoveAssignment returns false if the machine does not have the assignment.
//
// Removing the assignment earlier could run the task twice: the task might be started
// elsewhere while a new owner of the shard still finds it recorded on this machine.
func (m *Machine) RemoveAssignment(a *Assignment, now cluster.Time) bool {
	if m.Assignments[a.Task] != a {
		return false
	}
	delete(m.Assignments, a.Task)
	m.Usage.Remove(a)
	if a.Phase == PhaseEnded {
		m.EndedToAcknowledge[a.TaskAttempt()] = true
	}
	if len(m.Assignments) == 0 {
		m.IdleSince = now
	}
	return true
}

// SortedAssignments returns the machine's assignments sorted by task.
func (m *Machine) SortedAssignments() []*Assignment {
	sorted := make([]*Assignment, 0, len(m.Assignments))
	for _, a := range m.Assignments {
		sorted = append(sorted, a)
	}
	sort.Slice(sorted, func(i, k int) bool {
		a, b := sorted[i].Task, sorted[k].Task
		return a.Job < b.Job || a.Job == b.Job && a.Index < b.Index
	})
	return sorted
}

// HasRunningTask reports whether the machine has a task that a heartbeat has shown and that
// has neither ended nor been proven absent since.
func (m *Machine) HasRunningTask() bool {
	for _, a := range m.Assignments {
		if a.Phase == PhaseAcknowledged && !a.ConfirmedAbsent {
			return true
		}
	}
	return false
}

// HasCheckpointableTask reports whether the machine has a task that can save a checkpoint.
func (m *Machine) HasCheckpointableTask() bool {
	for _, a := range m.Assignments {
		if a.IsCheckpointable() {
			return true
		}
	}
	return false
}

// HasStaleAttempt reports whether an earlier attempt of the task has yet to be stopped, or
// has ended and its end has yet to be acknowledged.
func (m *Machine) HasStaleAttempt(task cluster.TaskID) bool {
	for attempt := range m.EndedToAcknowledge {
		if attempt.Task == task {
			return true
		}
	}
	for attempt := range m.UnrecordedToStop {
		if attempt.Task == task {
			return true
		}
	}
	return false
}

// PruneStaleAttempts removes attempts from EndedToAcknowledge and UnrecordedToStop if they
// are not in present, the set of the attempts that the last heartbeat shows.
func (m *Machine) PruneStaleAttempts(present map[TaskAttempt]bool) {
	for attempt := range m.EndedToAcknowledge {
		if !present[attempt] {
			delete(m.EndedToAcknowledge, attempt)
		}
	}
	for attempt := range m.UnrecordedToStop {
		if !present[attempt] {
			delete(m.UnrecordedToStop, attempt)
		}
	}
}

// ResetSentStops discards the times at which stops were sent, as the stops may not have
// arrived. They can then be pushed again, and their grace periods begin again.
func (m *Machine) ResetSentStops() {
	for _, a := range m.Assignments {
		a.StopSentAt = 0
	}
}
