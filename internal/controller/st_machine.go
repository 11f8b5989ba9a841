package controller

import (
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
)

// machine is a machine of an owned shard.
type machine struct {
	id          cluster.MachineID
	shardID     cluster.ShardID
	group       *machineGroup // whose record lists it
	address     string
	machineType string
	zone        string
	spot        bool

	ownedSince        cluster.Time // when this controller began to own it
	booting           bool
	assignments       map[cluster.TaskID]*assignment
	usage             machineUsage
	recordedTaskCount int // tasks in the stored record
	idleSince         cluster.Time

	tokenState
	workerState
	commandState
	startLimits
	removalState
	paceEstimate
}

// newMachine makes the machine that a line of a group's record describes, owned
// from now on under a token.
func newMachine(group *machineGroup, line grouprecord.Machine, token cluster.FencingToken, now cluster.Time) *machine {
	return &machine{
		id:          line.ID,
		shardID:     group.shardID,
		group:       group,
		address:     line.Address,
		machineType: line.Kind.Type,
		zone:        line.Kind.Zone,
		spot:        line.Kind.Spot,
		ownedSince:  now,
		booting:     line.Booting,
		idleSince:   now,
		assignments: map[cluster.TaskID]*assignment{},
		tokenState:  tokenState{token: token, unacknowledgedSince: now},
		workerState: workerState{lastHeartbeat: now},
		commandState: commandState{
			endedToAcknowledge: map[taskAttempt]bool{},
			unrecordedToStop:   map[taskAttempt]bool{},
		},
		startLimits: startLimits{failedJobs: map[cluster.JobID]bool{}},
	}
}

// tokenState is the fencing token of a machine, under which its worker takes
// commands.
//
// Nothing but stops is sent before the worker has acknowledged the token: under a
// lower one, commands of an earlier owner may still arrive.
type tokenState struct {
	token                        cluster.FencingToken
	tokenAcknowledged            bool                 // the worker's highest token is ours
	unacknowledgedSince          cluster.Time         // since when it is not
	awaitingFirstAcknowledgement bool                 // taken over with its shard, and not acknowledged since
	initialToken                 cluster.FencingToken // of a machine that only this claim has ever owned: its token; else 0
	fencedOff                    bool                 // its worker has seen a higher token
	raisingToken                 bool                 // a higher token is to be stored
}

// workerState is what a machine's worker has last said, and what it waits for.
type workerState struct {
	incarnation    cluster.Incarnation
	sequenceNumber cluster.SequenceNumber
	lastHeartbeat  cluster.Time

	pendingHeartbeat      messages.RequestID // that waits for its answer; 0: none
	pendingSequenceNumber cluster.SequenceNumber
	replyDeadline         cluster.Time // until when it is answered at the latest
	heartbeatHeld         bool         // among the heartbeats that wait for the next scan of all

	cachedImages []cachedImage // least recently used first
}

// cachedImage is an image in a worker's cache.
type cachedImage struct {
	name   string
	sizeGB float64
}

// commandState is what a worker is to be told, and the push that tells it.
type commandState struct {
	endedToAcknowledge map[taskAttempt]bool // ended, the record no longer lists it
	unrecordedToStop   map[taskAttempt]bool // running without being recorded
	startInDoubt       bool                 // a pushed start may yet arrive

	pushQueued   bool // its commands can't wait for its next heartbeat
	pushInFlight bool
	lastPushAt   cluster.Time
}

// startLimits keep new tasks away from a machine.
type startLimits struct {
	noStartsBefore   cluster.Time // after an error
	taskErrors       int
	failedJobs       map[cluster.JobID]bool // whose tasks failed here
	cordoned         bool                   // gets nothing new: another shard needs it more
	scaleInCandidate bool                   // cordoned, but only because it costs more than others
}

// removalState is how a machine leaves: preempted by the cloud, or released.
type removalState struct {
	draining             bool
	preemptionDeadline   cluster.Time // when the cloud takes it
	missingFromCloudList bool         // not in the cloud's list when it was last read
	terminated           bool         // the cloud has taken it back; the record has to say so
	releasing            bool         // it is to be given back; the record has to say so
	releaseConfirmed     bool         // the record says so, the cloud may be called
	scaleInCallInFlight  bool
}

// paceEstimate compares a machine's speed with others'.
type paceEstimate struct {
	paceSamples  int     // tasks whose run time was compared with their job's others
	relativePace float64 // smoothed run time over theirs
	lateChecks   int     // in a row that found a straggler
}

// kind is what the machine has in common with others of its rental.
func (m *machine) kind() grouprecord.Kind {
	return grouprecord.Kind{Type: m.machineType, Zone: m.zone, Spot: m.spot}
}

// taskCount is how many tasks the machine's record lists.
func (m *machine) taskCount() int { return len(m.assignments) }

// addAssignment lists a task on the machine.
func (m *machine) addAssignment(a *assignment) {
	if old := m.assignments[a.task]; old != nil { // the same task listed twice
		m.usage.remove(old)
	}
	m.assignments[a.task] = a
	a.job.listedAssignments[a] = true
	m.usage.add(a)
}

// sortedAssignments lists the machine's assignments by task.
func (m *machine) sortedAssignments() []*assignment {
	l := make([]*assignment, 0, len(m.assignments))
	for _, a := range m.assignments {
		l = append(l, a)
	}
	sort.Slice(l, func(i, k int) bool {
		a, b := l[i].task, l[k].task
		return a.Job < b.Job || a.Job == b.Job && a.Index < b.Index
	})
	return l
}

// hasRunningTask tells whether a report has shown a task that is still running.
func (m *machine) hasRunningTask() bool {
	for _, a := range m.assignments {
		if a.phase == phaseAcknowledged && !a.confirmedAbsent {
			return true
		}
	}
	return false
}

// hasCheckpointableTask tells whether a task that can save is running on the machine.
func (m *machine) hasCheckpointableTask() bool {
	for _, a := range m.assignments {
		if a.isCheckpointable() {
			return true
		}
	}
	return false
}

// hasUnclearedAttempt tells whether an earlier start of a task is still being cleared away.
func (m *machine) hasUnclearedAttempt(t cluster.TaskID) bool {
	for s := range m.endedToAcknowledge {
		if s.task == t {
			return true
		}
	}
	for s := range m.unrecordedToStop {
		if s.task == t {
			return true
		}
	}
	return false
}

// forgetCleared forgets the starts to be cleared away that a report shows no more.
func (m *machine) forgetCleared(present map[taskAttempt]bool) {
	for s := range m.endedToAcknowledge {
		if !present[s] {
			delete(m.endedToAcknowledge, s)
		}
	}
	for s := range m.unrecordedToStop {
		if !present[s] {
			delete(m.unrecordedToStop, s)
		}
	}
}

// addCachedImage records that the worker has fetched or used a job's image, in a
// cache of so many GB.
func (m *machine) addCachedImage(j *job, cache float64) {
	for i, im := range m.cachedImages {
		if im.name == j.spec.Image {
			m.cachedImages = append(append(m.cachedImages[:i:i], m.cachedImages[i+1:]...), im)
			return
		}
	}
	m.cachedImages = append(m.cachedImages, cachedImage{j.spec.Image, j.spec.ImageGB})
	sum := 0.0
	for _, im := range m.cachedImages {
		sum += im.sizeGB
	}
	for len(m.cachedImages) > 1 && sum > cache {
		sum -= m.cachedImages[0].sizeGB
		m.cachedImages = m.cachedImages[1:]
	}
}

// hasCachedImage tells whether the worker has an image.
func (m *machine) hasCachedImage(name string) bool {
	for _, im := range m.cachedImages {
		if im.name == name {
			return true
		}
	}
	return false
}

// resetSentStops notes that the stops sent may not have arrived.
func (m *machine) resetSentStops() {
	for _, a := range m.assignments {
		a.stopSentAt = 0
	}
}
