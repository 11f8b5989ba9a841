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
	Group       *MachineGroup // whose record lists it
	Address     string
	MachineType string
	Zone        string
	Spot        bool

	OwnedSince        cluster.Time // when this controller began to own it
	Booting           bool
	Assignments       map[cluster.TaskID]*Assignment
	Usage             MachineUsage
	RecordedTaskCount int // tasks in the stored record
	IdleSince         cluster.Time

	TokenState
	WorkerState
	CommandState
	StartLimits
	RemovalState
	PaceEstimate
}

// NewMachine makes the machine that a line of a group's record describes, owned
// from now on under a token.
func NewMachine(group *MachineGroup, line grouprecord.Machine, token cluster.FencingToken, now cluster.Time) *Machine {
	return &Machine{
		ID:          line.ID,
		ShardID:     group.ShardID,
		Group:       group,
		Address:     line.Address,
		MachineType: line.Kind.Type,
		Zone:        line.Kind.Zone,
		Spot:        line.Kind.Spot,
		OwnedSince:  now,
		Booting:     line.Booting,
		IdleSince:   now,
		Assignments: map[cluster.TaskID]*Assignment{},
		TokenState:  TokenState{Token: token, UnacknowledgedSince: now},
		WorkerState: WorkerState{LastHeartbeat: now},
		CommandState: CommandState{
			EndedToAcknowledge: map[TaskAttempt]bool{},
			UnrecordedToStop:   map[TaskAttempt]bool{},
		},
		StartLimits: StartLimits{FailedJobs: map[cluster.JobID]bool{}},
	}
}

// TokenState is the fencing token of a machine, under which its worker takes
// commands.
//
// Nothing but stops is sent before the worker has acknowledged the token: under a
// lower one, commands of an earlier owner may still arrive.
type TokenState struct {
	Token                        cluster.FencingToken
	TokenAcknowledged            bool                 // the worker's highest token is ours
	UnacknowledgedSince          cluster.Time         // since when it is not
	AwaitingFirstAcknowledgement bool                 // taken over with its shard, and not acknowledged since
	InitialToken                 cluster.FencingToken // of a machine that only this claim has ever owned: its token; else 0
	FencedOff                    bool                 // its worker has seen a higher token
	RaisingToken                 bool                 // a higher token is to be stored
}

// WorkerState is what a machine's worker has last said, and what it waits for.
type WorkerState struct {
	Incarnation    cluster.Incarnation
	SequenceNumber cluster.SequenceNumber
	LastHeartbeat  cluster.Time

	PendingHeartbeat      messages.RequestID // that waits for its answer; 0: none
	PendingSequenceNumber cluster.SequenceNumber
	ReplyDeadline         cluster.Time // until when it is answered at the latest
	HeartbeatHeld         bool         // among the heartbeats that wait for the next scan of all

	CachedImages []CachedImage // least recently used first
}

// CachedImage is an image in a worker's cache.
type CachedImage struct {
	Name   string
	SizeGB float64
}

// CommandState is what is to be sent to a worker, and the push that sends it.
type CommandState struct {
	EndedToAcknowledge map[TaskAttempt]bool // ended, the record no longer lists it
	UnrecordedToStop   map[TaskAttempt]bool // running without being recorded
	StartInDoubt       bool                 // a pushed start may yet arrive

	PushQueued   bool // its commands can't wait for its next heartbeat
	PushInFlight bool
	LastPushAt   cluster.Time
}

// StartLimits keep new tasks away from a machine.
type StartLimits struct {
	NoStartsBefore   cluster.Time // after an error
	TaskErrors       int
	FailedJobs       map[cluster.JobID]bool // whose tasks failed here
	Cordoned         bool                   // gets nothing new: another shard needs it more
	ScaleInCandidate bool                   // cordoned, but only because it costs more than others
}

// RemovalState is how a machine leaves: preempted by the cloud, or released.
type RemovalState struct {
	Draining             bool
	PreemptionDeadline   cluster.Time // when the cloud takes it
	MissingFromCloudList bool         // not in the cloud's list when it was last read
	Terminated           bool         // the cloud has taken it back; the record has to say so
	Releasing            bool         // it is to be given back; the record has to say so
	ReleaseConfirmed     bool         // the record says so, the cloud may be called
	ScaleInCallInFlight  bool
}

// PaceEstimate compares a machine's speed with others'.
type PaceEstimate struct {
	PaceSamples           int     // tasks whose run time was compared with their job's others
	RelativePace          float64 // smoothed run time over theirs
	ConsecutiveLateChecks int     // in a row that found a straggler
}

// Kind is what the machine has in common with others of its provisioning request.
func (m *Machine) Kind() grouprecord.Kind {
	return grouprecord.Kind{Type: m.MachineType, Zone: m.Zone, Spot: m.Spot}
}

// TaskCount is how many tasks the machine's record lists.
func (m *Machine) TaskCount() int { return len(m.Assignments) }

// AddAssignment lists a task on the machine.
func (m *Machine) AddAssignment(a *Assignment) {
	if old := m.Assignments[a.Task]; old != nil { // the same task listed twice
		m.Usage.Remove(old)
	}
	m.Assignments[a.Task] = a
	a.Job.ListedAssignments[a] = true
	m.Usage.Add(a)
}

// RemoveAssignment takes a task off the machine after a stored record that no longer
// lists it; false: it was off already. Before that record is stored the task must stay,
// as it could be started elsewhere while an owner that takes the shard over still finds
// it recorded here.
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

// BeginTokenRaise notes that a higher token is to be stored with the machine's record;
// false: one is already, or the machine is being released and needs none.
func (m *Machine) BeginTokenRaise() bool {
	if m.RaisingToken || m.Releasing {
		return false
	}
	m.RaisingToken = true
	return true
}

// MarkTokenRaised notes that a higher token is stored. Nothing but stops is sent until
// the worker has acknowledged it: until then it would still execute commands of an
// earlier owner.
func (m *Machine) MarkTokenRaised(token cluster.FencingToken, now cluster.Time) {
	m.RaisingToken = false
	m.Token, m.TokenAcknowledged, m.UnacknowledgedSince = token, false, now
}

// SortedAssignments lists the machine's assignments by task.
func (m *Machine) SortedAssignments() []*Assignment {
	l := make([]*Assignment, 0, len(m.Assignments))
	for _, a := range m.Assignments {
		l = append(l, a)
	}
	sort.Slice(l, func(i, k int) bool {
		a, b := l[i].Task, l[k].Task
		return a.Job < b.Job || a.Job == b.Job && a.Index < b.Index
	})
	return l
}

// HasRunningTask tells whether a heartbeat has shown a task that is still running.
func (m *Machine) HasRunningTask() bool {
	for _, a := range m.Assignments {
		if a.Phase == PhaseAcknowledged && !a.ConfirmedAbsent {
			return true
		}
	}
	return false
}

// HasCheckpointableTask tells whether a task that can save is running on the machine.
func (m *Machine) HasCheckpointableTask() bool {
	for _, a := range m.Assignments {
		if a.IsCheckpointable() {
			return true
		}
	}
	return false
}

// HasUnclearedAttempt tells whether an earlier start of a task is still being cleared away.
func (m *Machine) HasStaleAttempt(t cluster.TaskID) bool {
	for s := range m.EndedToAcknowledge {
		if s.Task == t {
			return true
		}
	}
	for s := range m.UnrecordedToStop {
		if s.Task == t {
			return true
		}
	}
	return false
}

// ForgetCleared forgets the starts to be cleared away that a heartbeat shows no more.
func (m *Machine) PruneStaleAttempts(present map[TaskAttempt]bool) {
	for s := range m.EndedToAcknowledge {
		if !present[s] {
			delete(m.EndedToAcknowledge, s)
		}
	}
	for s := range m.UnrecordedToStop {
		if !present[s] {
			delete(m.UnrecordedToStop, s)
		}
	}
}

// AddCachedImage records that the worker has fetched or used a job's image, in a
// cache of so many GB.
func (m *Machine) AddCachedImage(j *Job, cache float64) {
	for i, im := range m.CachedImages {
		if im.Name == j.Spec.Image {
			m.CachedImages = append(append(m.CachedImages[:i:i], m.CachedImages[i+1:]...), im)
			return
		}
	}
	m.CachedImages = append(m.CachedImages, CachedImage{j.Spec.Image, j.Spec.ImageGB})
	sum := 0.0
	for _, im := range m.CachedImages {
		sum += im.SizeGB
	}
	for len(m.CachedImages) > 1 && sum > cache {
		sum -= m.CachedImages[0].SizeGB
		m.CachedImages = m.CachedImages[1:]
	}
}

// HasCachedImage tells whether the worker has an image.
func (m *Machine) HasCachedImage(name string) bool {
	for _, im := range m.CachedImages {
		if im.Name == name {
			return true
		}
	}
	return false
}

// ResetSentStops notes that the stops sent may not have arrived.
func (m *Machine) ResetSentStops() {
	for _, a := range m.Assignments {
		a.StopSentAt = 0
	}
}
