package controller

import (
	"slices"
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// What workers report, and what they are answered.

func (c *Controller) handleHeartbeat(e messages.Heartbeat) {
	r := &e.Status
	c.workerReachability.RecordHeartbeat()
	if c.isIsolated() {
		// A 200 would hold the worker here, though a successor may be entitled.
		c.redirectWorker(e.Request, "")
		return
	}
	m := c.machines[r.Machine]
	if m == nil {
		c.handleUnknownHeartbeat(e)
		return
	}
	p := c.shards[m.shardID]
	switch {
	case !p.owned || !p.ready:
		c.respondError(e.Request, messages.ReplyUnavailable, 0, "")
		return
	case !c.canAnswerWorkers(p):
		// Another may have claimed the part unnoticed, and cancelled jobs of it.
		c.redirectWorker(e.Request, "")
		return
	case r.FencingToken > m.token:
		// Somebody later is entitled: a 200 with our token would be dropped
		// and hold the worker here while its lease runs out.
		c.checkOwner(m)
		c.redirectWorker(e.Request, c.shards[m.shardID].owner)
		return
	case r.Incarnation < m.incarnation:
		c.redirectWorker(e.Request, "")
		return
	}
	if m.pendingHeartbeat != 0 {
		c.redirectWorker(m.pendingHeartbeat, "")
	}
	m.pendingHeartbeat, m.pendingSequenceNumber, m.replyDeadline = e.Request, r.SequenceNumber, c.loop.Now()+maxHeartbeatHold
	if c.reconcile(m, r, false) {
		c.workerReachability.RecordOwnedHeartbeat()
		c.schedulingTrigger.request()
	}
	c.heldHeartbeats.toCheck = append(c.heldHeartbeats.toCheck, m)
}

// heldHeartbeats lists the machines whose reports have no answer yet, in the order
// in which they came in. One whose report was answered otherwise has no pending
// request, and is left out with the next release.
//
// All that are held are looked at ten times a second; in between only those that
// have come in or whose record was stored since the last look.
type heldHeartbeats struct {
	machines       []*machine // held back at the last look
	toCheck        []*machine // to be looked at with this event
	checkScheduled bool       // the next look at all
}

// heldHeartbeatInterval is the time between two looks at all reports that are held.
const heldHeartbeatInterval = 100 * millisecond

// maxHeartbeatHold is how long a report's answer waits for the record that lists its
// starts. The worker waits 4 s for it, and its lease counts from the sending.
const maxHeartbeatHold = 600 * millisecond

// isIsolated tells whether this node has had neither the store nor any other
// controller for so long that a successor may hold its parts.
func (c *Controller) isIsolated() bool {
	patience := max(c.config.WorkerLease, 10*second)
	return len(c.members.Peers()) > 0 && c.writeQueue.IsUnavailableFor(patience) && !c.members.HasAnswerWithin(patience)
}

// answerHeldHeartbeats answers the reports whose machine has no start on its way to
// the record; the others wait for it a moment, so that the answer carries it.
func (c *Controller) answerHeldHeartbeats() {
	held := &c.heldHeartbeats
	changed := held.toCheck
	held.toCheck = nil
	for _, m := range changed {
		switch {
		case m.pendingHeartbeat == 0:
		case !c.awaitsGroupRecord(m):
			c.answerHeartbeat(m)
		case !m.heartbeatHeld:
			m.heartbeatHeld = true
			held.machines = append(held.machines, m)
		}
	}
	c.scheduleHeldHeartbeats()
}

// scheduleHeldHeartbeats has all reports that are held looked at after a pause.
func (c *Controller) scheduleHeldHeartbeats() {
	held := &c.heldHeartbeats
	if len(held.machines) == 0 || held.checkScheduled {
		return
	}
	held.checkScheduled = true
	c.loop.After(heldHeartbeatInterval, func() {
		held.checkScheduled = false
		c.counters.addMachineScans(held.machines)
		held.toCheck = append(held.toCheck, held.machines...)
		for _, m := range held.machines {
			m.heartbeatHeld = false
		}
		held.machines = held.machines[:0]
	})
}

// awaitsGroupRecord tells whether a machine's answer waits for a start's record.
func (c *Controller) awaitsGroupRecord(m *machine) bool {
	if c.loop.Now() >= m.replyDeadline || c.writeQueue.IsUnavailableFor(500*millisecond) {
		return false
	}
	for _, a := range m.assignments {
		if a.phase == phaseRecording && !a.confirmedAbsent {
			return true
		}
	}
	return false
}

// answerHeartbeat answers a machine's report with what it is to do.
func (c *Controller) answerHeartbeat(m *machine) {
	req := m.pendingHeartbeat
	m.pendingHeartbeat = 0
	w := &messages.HeartbeatResponse{FencingToken: m.token, Commands: c.commandsFor(m, false)}
	if m.raisingToken {
		w.Commands = onlyStops(w.Commands)
	}
	for _, cmd := range w.Commands {
		if cmd.Kind == cluster.Start {
			a := m.assignments[cmd.Task]
			a.phase, a.pushed, a.dispatchedAtSequence = phaseDispatched, false, m.pendingSequenceNumber
		}
	}
	m.pushQueued = false
	c.loop.Emit(messages.Respond{Request: req, Status: messages.ReplyOK, Heartbeat: w})
}

// commandsFor lists what the machine is to do now.
func (c *Controller) commandsFor(m *machine, urgentOnly bool) []cluster.Command {
	var out []cluster.Command
	var starts []cluster.Command
	mayStart := c.canStartTasks(c.shards[m.shardID])
	for _, a := range m.sortedAssignments() {
		switch {
		case a.confirmedAbsent:
		case a.stopRequested && a.phase != phaseEnded && a.phase != phaseReady && a.phase != phaseRecording:
			if urgentOnly && a.stopSentAt > 0 {
				continue
			}
			if a.state == cluster.Checkpointing && a.gracePeriod > 0 && !a.isGraceExpired(c.loop.Now()) {
				continue
			}
			g := a.gracePeriod
			if a.isGraceExpired(c.loop.Now()) {
				g = 0
			}
			if a.stopSentAt == 0 {
				a.stopSentAt = c.loop.Now()
			}
			out = append(out, cluster.Command{Kind: cluster.Stop, Task: a.task, Attempt: a.attempt, GraceSeconds: g})
		case a.phase == phaseReady && !m.startInDoubt && !m.releasing && c.loop.Now() >= m.noStartsBefore && a.job.isActive():
			if !mayStart || m.hasUnclearedAttempt(a.task) {
				continue
			}
			starts = append(starts, cluster.Command{Kind: cluster.Start, Task: a.task, Attempt: a.attempt})
		case a.isCompleted() && !m.startInDoubt && !urgentOnly && c.isOutcomeStored(a):
			out = append(out, cluster.Command{Kind: cluster.Acknowledge, Task: a.task, Attempt: a.attempt})
		}
	}
	if !urgentOnly {
		for _, t := range sortedAttempts(m.unrecordedToStop) {
			out = append(out, cluster.Command{Kind: cluster.Stop, Task: t.task, Attempt: t.attempt})
		}
		if !m.startInDoubt {
			for _, t := range sortedAttempts(m.endedToAcknowledge) {
				out = append(out, cluster.Command{Kind: cluster.Acknowledge, Task: t.task, Attempt: t.attempt})
			}
		}
	}
	return append(out, starts...)
}

// onlyStops leaves what may be sent under any token that the worker takes: a
// task that is to be stopped must not go on until a higher token is stored,
// which in an outage takes longer than a cancellation may.
func onlyStops(cmds []cluster.Command) []cluster.Command {
	return slices.DeleteFunc(cmds, func(x cluster.Command) bool { return x.Kind != cluster.Stop })
}

func (a *assignment) isGraceExpired(now cluster.Time) bool {
	return a.stopSentAt > 0 && float64(now-a.stopSentAt)/float64(second) > a.gracePeriod+2
}

func (c *Controller) isOutcomeStored(a *assignment) bool {
	return a.job.finalStatus != "" || a.job.taskStates[a.task.Index] == taskCompletionStored
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

func sortedAttempts(m map[taskAttempt]bool) []taskAttempt {
	l := make([]taskAttempt, 0, len(m))
	for t := range m {
		l = append(l, t)
	}
	sort.Slice(l, func(i, k int) bool {
		a, b := l[i], l[k]
		if a.task != b.task {
			return a.task.Job < b.task.Job || a.task.Job == b.task.Job && a.task.Index < b.task.Index
		}
		return a.attempt < b.attempt
	})
	return l
}

// reconcile compares a worker's account with what is believed of it. It
// returns false for an account older than one already taken in.
func (c *Controller) reconcile(m *machine, r *cluster.HeartbeatStatus, viaOrders bool) bool {
	fresh := r.Incarnation > m.incarnation
	if r.Incarnation < m.incarnation || !fresh && r.SequenceNumber <= m.sequenceNumber {
		return false
	}
	// A lease that ran out, or a start in an answer without effect, may mean
	// that what is sent to the machine does not reach it though its reports
	// come. A higher token, once acknowledged, proves that it does; until then
	// the machine gets no new work, and in the end it is returned.
	deaf := fresh && m.incarnation > 0
	m.incarnation, m.sequenceNumber, m.lastHeartbeat = r.Incarnation, r.SequenceNumber, c.loop.Now()
	if m.booting {
		m.booting = false
		c.handleMachineBooted(m)
	}
	if m.address != r.Addr && r.Addr != "" {
		m.address = r.Addr
	}
	c.reconcileToken(m, r)
	if fresh {
		m.cachedImages = nil
	}
	if r.PreemptionNotice >= 0 {
		c.handlePreemptionNotice(m, r.PreemptionNotice)
	}
	present := c.reconcilePresent(m, r)
	if m.tokenAcknowledged {
		// Only under our token is absence proof: the report may be minutes
		// old, or an earlier holder's late start may still be executed.
		deaf = c.reconcileAbsent(m, r, present, fresh, viaOrders) || deaf
	}
	if deaf && m.tokenAcknowledged {
		c.raiseToken(m)
	}
	m.forgetCleared(present)
	return true
}

// reconcileToken takes in which token a worker has seen.
func (c *Controller) reconcileToken(m *machine, r *cluster.HeartbeatStatus) {
	// A worker that has seen no token at all, on a machine that nobody but this
	// claim has ever owned, can have no older command on its way to it.
	acked := r.FencingToken == m.token || r.FencingToken == 0 && m.token == m.initialToken && !m.startInDoubt && !m.raisingToken
	if m.tokenAcknowledged && !acked {
		m.unacknowledgedSince = c.loop.Now()
	}
	m.tokenAcknowledged = acked
	if acked && m.awaitingFirstAcknowledgement {
		p := c.shards[m.shardID]
		m.awaitingFirstAcknowledgement = false
		p.awaitingFirstAcknowledgement--
		p.lastAcknowledgedAt = c.loop.Now()
	}
	if m.tokenAcknowledged && !m.raisingToken {
		m.startInDoubt = false
	}
}

// reconcilePresent takes in the tasks that a report shows, and returns them. It
// goes by start, not by task: an old report may show an earlier attempt of a
// task that runs here now, and must not make that one look gone.
func (c *Controller) reconcilePresent(m *machine, r *cluster.HeartbeatStatus) map[taskAttempt]bool {
	present := make(map[taskAttempt]bool, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		present[taskAttempt{t.Task, t.Attempt}] = true
		a := m.assignments[t.Task]
		if a == nil || a.attempt != t.Attempt {
			c.handleUnrecordedTask(m, t)
			continue
		}
		c.applyTaskStatus(m, a, t)
	}
	return present
}

// reconcileAbsent takes in that a report under our token does not show the other
// tasks. It tells whether a start was lost that an answer carried.
func (c *Controller) reconcileAbsent(m *machine, r *cluster.HeartbeatStatus, present map[taskAttempt]bool, fresh, viaOrders bool) bool {
	lostInAnswer := false
	for _, a := range m.sortedAssignments() {
		if present[a.taskAttempt()] || a.confirmedAbsent {
			continue
		}
		switch a.phase {
		case phaseUnverified, phaseAcknowledged:
			c.confirmAbsent(m, a)
		case phaseDispatched:
			arrived := !a.pushed && !viaOrders && r.SequenceNumber > a.dispatchedAtSequence // the answer that carried it
			if !fresh && !arrived && !(a.pushed && !m.startInDoubt && !m.pushInFlight) {
				continue
			}
			a.phase = phaseReady
			lostInAnswer = lostInAnswer || !a.pushed
			if !a.job.isActive() {
				c.confirmAbsent(m, a)
			}
		case phaseEnded:
			if a.cause != cluster.CauseCompleted || c.isOutcomeStored(a) {
				c.confirmAbsent(m, a)
			}
		}
	}
	return lostInAnswer
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

// confirmAbsent notes that a task is proven to be off the machine. The record must
// say so before it may start elsewhere; when nobody waits for that, it can
// share a later write.
func (c *Controller) confirmAbsent(m *machine, a *assignment) {
	if a.confirmedAbsent {
		return
	}
	m.markConfirmedAbsent(a)
	if a.job.assignments[a.task.Index] == a && a.job.isActive() {
		c.writeMachine(m, writequeue.Start)
		return
	}
	// Nobody waits for it: the next checkpoint takes it along.
}

// handleUnrecordedTask is a task that the machine's record does not list.
func (c *Controller) handleUnrecordedTask(m *machine, t *cluster.TaskStatus) {
	s := taskAttempt{t.Task, t.Attempt}
	if c.applyUnrecordedCompletion(m, t) {
		return
	}
	if t.State == cluster.Ended {
		delete(m.unrecordedToStop, s)
		m.endedToAcknowledge[s] = true
		return
	}
	if !m.unrecordedToStop[s] {
		c.loop.Log(messages.LogInfo, "stray task", "machine", string(m.id), "task", t.Task.String(), "attempt", uint64(t.Attempt))
	}
	m.unrecordedToStop[s] = true
}

// applyUnrecordedCompletion takes in that a task has run to its end under an earlier
// holder of its part, who had not stored that yet. The worker shows it until it
// is stored. It returns false where that is of no use here.
func (c *Controller) applyUnrecordedCompletion(m *machine, t *cluster.TaskStatus) bool {
	j := c.jobs.owned[t.Task.Job]
	if t.State != cluster.Ended || t.Cause != cluster.CauseCompleted || j == nil || !j.isActive() || t.Task.Index >= len(j.taskStates) || m.assignments[t.Task] != nil {
		return false
	}
	if j.chunksLoading > 0 { // perhaps it is stored already
		return true
	}
	if j.taskStates[t.Task.Index] != taskPending {
		return false
	}
	a := &assignment{task: t.Task, machineID: m.id, job: j, attempt: t.Attempt, phase: phaseEnded, cause: cluster.CauseCompleted, resourceRequest: j.spec.ResourceRequest, startUnobserved: true, removedFromRecord: true}
	m.addAssignment(a)
	c.recordTaskDone(j, t.Task.Index)
	return true
}

// recordTaskDone notes that a task has run to its end; with the last of its job that
// is stored at once.
func (c *Controller) recordTaskDone(j *job, index int) {
	j.setCompleted(index)
	if j.finalStatus == "" && j.chunksLoading == 0 && j.completedCount == j.spec.Tasks {
		c.writeJob(j, writequeue.Admit)
	}
}

// applyTaskStatus takes in one listed task's state.
func (c *Controller) applyTaskStatus(m *machine, a *assignment, t *cluster.TaskStatus) {
	if a.phase == phaseEnded {
		return
	}
	a.startUnobserved = a.startUnobserved || a.phase == phaseUnverified
	a.phase = phaseAcknowledged
	a.state = t.State
	switch t.State {
	case cluster.Running:
		if a.runningSince == 0 {
			a.runningSince = c.loop.Now()
			if a.job.firstRunAt == 0 {
				a.job.firstRunAt = c.loop.Now()
			}
			a.job.lastRunAt = c.loop.Now()
			m.addCachedImage(a.job, c.machineTypes[m.machineType].CacheGB)
		}
	case cluster.Ended:
		c.handleTaskEnded(m, a, t)
	}
}

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

func (m *machine) hasCachedImage(name string) bool {
	for _, im := range m.cachedImages {
		if im.name == name {
			return true
		}
	}
	return false
}

func (c *Controller) handleTaskEnded(m *machine, a *assignment, t *cluster.TaskStatus) {
	j := a.job
	m.markEnded(a, t.Cause)
	if t.Cause == cluster.CauseCompleted {
		c.recordRuntime(m, a)
		c.recordTaskDone(j, a.task.Index)
		return
	}
	switch t.Cause {
	case cluster.CauseFailed:
		c.handleTaskError(m, a)
	case cluster.CauseNoCapacity, cluster.CauseDuplicateAttempt:
		m.noStartsBefore = c.loop.Now() + 3*second
	case cluster.CauseUnknownTask:
		j.backoffUntil = c.loop.Now() + 3*second
	}
	c.confirmAbsent(m, a)
	if !j.isActive() {
		m.endedToAcknowledge[a.taskAttempt()] = true
	}
}

// handleTaskError tells a faulty machine from a faulty job: several jobs failing
// on one machine speak against the machine, one job failing on several
// machines against the job, which is then retried ever more slowly.
func (c *Controller) handleTaskError(m *machine, a *assignment) {
	j := a.job
	m.taskErrors++
	m.failedJobs[j.spec.ID] = true
	j.taskErrors++
	j.failedMachines[m.id] = true
	if len(j.failedMachines) >= 2 {
		j.backoffUntil = c.loop.Now() + min(second<<min(len(j.failedMachines)+j.taskErrors/2, 6), 60*second)
	}
	if len(m.failedJobs) >= 2 && !m.draining {
		c.loop.Log(messages.LogInfo, "machine fails tasks", "machine", string(m.id), "errors", m.taskErrors)
		c.drainMachine(m)
	}
}

func (c *Controller) drainMachine(m *machine) {
	m.draining = true
	c.schedulingTrigger.request()
}
