package controller

import (
	"slices"
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/grouprecord"
)

// Phases of a task on a machine. The machine's stored record lists every task
// from aReady on; a task leaves m.assigns only after a stored record without it.
type assignmentPhase uint8

const (
	phaseRecording    assignmentPhase = iota // the record that lists it is not stored yet
	phaseReady                               // recorded, the start may be sent
	phaseDispatched                          // the start was sent, no report has shown it
	phaseAcknowledged                        // a report has shown it
	phaseEnded                               // a report has shown it ended
	phaseUnverified                          // listed by an earlier holder's record, not compared yet
)

// assignment is a task that is, or may be, on a machine.
type assignment struct {
	task                 cluster.TaskID
	machineID            cluster.MachineID
	job                  *job
	attempt              cluster.Attempt
	phase                assignmentPhase
	cause                cluster.Cause
	resourceRequest      cluster.Resources
	confirmedAbsent      bool // proven not to be on the machine; waits for the record to say so
	countedInUsage       bool // in its machine's use
	removedFromRecord    bool // completed, and the stored record does not list it any more
	pushed               bool
	dispatchedAtSequence cluster.SequenceNumber
	state                cluster.TaskState
	stopRequested        bool // is to be stopped
	gracePeriod          float64
	stopSentAt           cluster.Time
	stopRequestedAt      cluster.Time // when its stop was decided
	runningSince         cluster.Time
	startUnobserved      bool // its start was not seen
}

// taskAttempt is one start of a task. A worker may hold two at once: it refuses a
// second attempt as busy and reports both.
type taskAttempt struct {
	task    cluster.TaskID
	attempt cluster.Attempt
}

func (a *assignment) taskAttempt() taskAttempt { return taskAttempt{a.task, a.attempt} }

// isCompleted tells whether a report has shown that the task has run to its end.
func (a *assignment) isCompleted() bool {
	return a.phase == phaseEnded && a.cause == cluster.CauseCompleted
}

func (a *assignment) isLive() bool { return a.phase != phaseEnded && !a.confirmedAbsent }

type cachedImage struct {
	name   string
	sizeGB float64
}

// machine of a part held here.
type machine struct {
	id                           cluster.MachineID
	shardID                      cluster.ShardID
	group                        *machineGroup
	address                      string
	machineType                  string
	zone                         string
	spot                         bool
	token                        cluster.FencingToken
	tokenAcknowledged            bool                 // the worker's highest token is ours
	awaitingFirstAcknowledgement bool                 // taken over with its part, and not so since
	unacknowledgedSince          cluster.Time         // since when it is not
	fencedOff                    bool                 // its worker has seen a higher token
	initialToken                 cluster.FencingToken // of a machine that only this claim has ever owned: its token; else 0
	ownedSince                   cluster.Time         // when this node began to own it
	booting                      bool

	incarnation        cluster.Incarnation
	sequenceNumber     cluster.SequenceNumber
	lastHeartbeat      cluster.Time
	assignments        map[cluster.TaskID]*assignment
	usage              machineUsage
	endedToAcknowledge map[taskAttempt]bool // ended, the record no longer lists it
	unrecordedToStop   map[taskAttempt]bool // running without being listed
	recordedTaskCount  int                  // tasks in the stored record

	raisingToken         bool // a higher token is to be stored
	startInDoubt         bool // a start sent by /orders may yet arrive
	missingFromCloudList bool // not in the cloud's list when it was last read
	terminated           bool // the cloud has taken it back; the record has to say so

	releasing           bool
	releaseConfirmed    bool // the record says so, the cloud may be called
	scaleInCallInFlight bool
	draining            bool
	preemptionDeadline  cluster.Time
	noStartsBefore      cluster.Time // no new starts before
	taskErrors          int
	failedJobs          map[cluster.JobID]bool
	cachedImages        []cachedImage
	paceSamples         int     // tasks whose pace was compared with their job's others
	relativePace        float64 // smoothed run time over theirs
	lateChecks          int

	pendingHeartbeat      messages.RequestID
	heartbeatHeld         bool // among the reports that wait for the next look at all
	pendingSequenceNumber cluster.SequenceNumber
	replyDeadline         cluster.Time
	pushInFlight          bool
	lastPushAt            cluster.Time
	pushQueued            bool // to be called for its commands
	idleSince             cluster.Time
	cordoned              bool // gets nothing new: another part needs it more
	scaleInCandidate      bool // as before, but only because it costs more than others
}

// kind is what the machine has in common with others of its rental.
func (m *machine) kind() grouprecord.Kind {
	return grouprecord.Kind{Type: m.machineType, Zone: m.zone, Spot: m.spot}
}

// taskCount is how many tasks the machine's record lists.
func (m *machine) taskCount() int { return len(m.assignments) }

func (c *Controller) addMachine(g *machineGroup, l grouprecord.Machine, token cluster.FencingToken) *machine {
	m := &machine{id: l.ID, shardID: g.shardID, group: g, address: l.Address, machineType: l.Kind.Type, zone: l.Kind.Zone, spot: l.Kind.Spot, token: token,
		ownedSince: c.loop.Now(), lastHeartbeat: c.loop.Now(), idleSince: c.loop.Now(), unacknowledgedSince: c.loop.Now(), booting: l.Booting,
		assignments: map[cluster.TaskID]*assignment{}, endedToAcknowledge: map[taskAttempt]bool{}, unrecordedToStop: map[taskAttempt]bool{}, failedJobs: map[cluster.JobID]bool{}}
	if old := c.machines[m.id]; old != nil { // never two pictures of one machine
		c.removeMachine(old)
		m.assignments = old.assignments
	}
	p := c.shards[m.shardID]
	m.usage.byTeam = p.usage
	for _, a := range m.assignments {
		m.usage.add(a)
	}
	g.machines[m.id] = m
	c.machines[m.id] = m
	i := sort.Search(len(p.machines), func(i int) bool { return p.machines[i].id >= m.id })
	p.machines = slices.Insert(p.machines, i, m)
	delete(c.machineOwners, m.id)
	return m
}

func (c *Controller) removeMachine(m *machine) {
	if c.machines[m.id] == m {
		delete(c.machines, m.id)
	}
	delete(m.group.machines, m.id)
	for _, a := range m.assignments {
		m.usage.remove(a)
	}
	p := c.shards[m.shardID]
	if i := slices.Index(p.machines, m); i >= 0 {
		p.machines = slices.Delete(slices.Clone(p.machines), i, i+1) // somebody may be walking the old list
	}
}

func (m *machine) addAssignment(a *assignment) {
	if old := m.assignments[a.task]; old != nil { // the same task listed twice
		m.usage.remove(old)
	}
	m.assignments[a.task] = a
	a.job.listedAssignments[a] = true
	m.usage.add(a)
}

// dropMachine forgets a machine that is no longer ours.
func (c *Controller) dropMachine(m *machine) {
	c.removeMachine(m)
	if m.pendingHeartbeat != 0 {
		c.redirectWorker(m.pendingHeartbeat, c.shards[m.shardID].owner)
		m.pendingHeartbeat = 0
	}
}

func (c *Controller) redirectWorker(req messages.RequestID, to cluster.NodeID) {
	if to == c.config.Self {
		to = ""
	}
	c.loop.Emit(messages.Respond{Request: req, Status: messages.ReplyMisdirected, Heartbeat: &messages.HeartbeatResponse{RedirectTo: to}})
}

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

// removeAssignment follows a stored record that no longer lists the task: from
// here on it may be started elsewhere.
func (c *Controller) removeAssignment(m *machine, a *assignment) {
	if m.assignments[a.task] != a {
		return
	}
	delete(m.assignments, a.task)
	m.usage.remove(a)
	if a.phase == phaseEnded {
		m.endedToAcknowledge[a.taskAttempt()] = true
	}
	c.unassignTask(a)
	if len(m.assignments) == 0 {
		m.idleSince = c.loop.Now()
	}
}

func (c *Controller) unassignTask(a *assignment) {
	j := a.job
	delete(j.listedAssignments, a)
	if j.assignments[a.task.Index] == a {
		j.setPending(a.task.Index)
		// Two machines may be listed with one task after a take-over: it waits
		// for the other too.
		var other *assignment
		for b := range j.listedAssignments {
			if b != a && b.task == a.task && (other == nil || b.machineID < other.machineID) {
				other = b
			}
		}
		if other != nil {
			j.setAssigned(a.task.Index, other)
		}
	}
	if j.finalStatus != "" && len(j.assignments) == 0 && c.jobs.owns(j) {
		c.removeOwnedJob(j)
	}
	c.schedulingTrigger.request()
}

// checkOwner finds out whether a machine was moved to another part.
func (c *Controller) checkOwner(m *machine) {
	m.fencedOff = true
	c.checkGroup(m.group)
}

// raiseToken raises a machine's token. Whatever was sent under the lower one can't
// be executed any more once the worker has acknowledged the new one.
func (c *Controller) raiseToken(m *machine) {
	if m.raisingToken || m.releasing {
		return
	}
	m.raisingToken = true
	c.writeMachine(m, writequeue.Start)
}
