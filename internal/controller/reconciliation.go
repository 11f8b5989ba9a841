package controller

import (
	"slices"

	"stairrelay/internal/state"

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
	m := c.state.Machines[r.Machine]
	if m == nil {
		c.reconciler.Orphans.HandleHeartbeat(e)
		return
	}
	p := c.state.Shards[m.ShardID]
	switch {
	case !p.Owned || !p.Ready:
		c.respondError(e.Request, messages.ReplyUnavailable, 0, "")
		return
	case !c.ownership.CanAnswerWorkers(p):
		// Another may have claimed the part unnoticed, and cancelled jobs of it.
		c.redirectWorker(e.Request, "")
		return
	case r.FencingToken > m.Token:
		// Somebody later is entitled: a 200 with our token would be dropped
		// and hold the worker here while its lease runs out.
		c.inventory.CheckOwner(m)
		c.redirectWorker(e.Request, c.state.Shards[m.ShardID].Owner)
		return
	case r.Incarnation < m.Incarnation:
		c.redirectWorker(e.Request, "")
		return
	}
	if m.PendingHeartbeat != 0 {
		c.redirectWorker(m.PendingHeartbeat, "")
	}
	m.PendingHeartbeat, m.PendingSequenceNumber, m.ReplyDeadline = e.Request, r.SequenceNumber, c.loop.Now()+maxHeartbeatHold
	if c.reconcile(m, r, false) {
		c.workerReachability.RecordOwnedHeartbeat()
		c.scheduler.Trigger.Request()
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
	machines       []*state.Machine // held back at the last look
	toCheck        []*state.Machine // to be looked at with this event
	checkScheduled bool             // the next look at all
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
		case m.PendingHeartbeat == 0:
		case !c.awaitsGroupRecord(m):
			c.answerHeartbeat(m)
		case !m.HeartbeatHeld:
			m.HeartbeatHeld = true
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
			m.HeartbeatHeld = false
		}
		held.machines = held.machines[:0]
	})
}

// awaitsGroupRecord tells whether a machine's answer waits for a start's record.
func (c *Controller) awaitsGroupRecord(m *state.Machine) bool {
	if c.loop.Now() >= m.ReplyDeadline || c.writeQueue.IsUnavailableFor(500*millisecond) {
		return false
	}
	for _, a := range m.Assignments {
		if a.Phase == state.PhaseRecording && !a.ConfirmedAbsent {
			return true
		}
	}
	return false
}

// answerHeartbeat answers a machine's report with what it is to do.
func (c *Controller) answerHeartbeat(m *state.Machine) {
	req := m.PendingHeartbeat
	m.PendingHeartbeat = 0
	w := &messages.HeartbeatResponse{FencingToken: m.Token, Commands: c.commandsFor(m, false)}
	if m.RaisingToken {
		w.Commands = onlyStops(w.Commands)
	}
	for _, cmd := range w.Commands {
		if cmd.Kind == cluster.Start {
			a := m.Assignments[cmd.Task]
			a.Phase, a.Pushed, a.DispatchedAtSequence = state.PhaseDispatched, false, m.PendingSequenceNumber
		}
	}
	m.PushQueued = false
	c.loop.Emit(messages.Respond{Request: req, Status: messages.ReplyOK, Heartbeat: w})
}

// commandsFor lists what the machine is to do now.
func (c *Controller) commandsFor(m *state.Machine, urgentOnly bool) []cluster.Command {
	var out []cluster.Command
	var starts []cluster.Command
	mayStart := c.ownership.CanStartTasks(c.state.Shards[m.ShardID])
	for _, a := range m.SortedAssignments() {
		switch {
		case a.ConfirmedAbsent:
		case a.StopRequested && a.Phase != state.PhaseEnded && a.Phase != state.PhaseReady && a.Phase != state.PhaseRecording:
			if urgentOnly && a.StopSentAt > 0 {
				continue
			}
			if a.State == cluster.Checkpointing && a.GracePeriod > 0 && !a.IsGraceExpired(c.loop.Now()) {
				continue
			}
			g := a.GracePeriod
			if a.IsGraceExpired(c.loop.Now()) {
				g = 0
			}
			if a.StopSentAt == 0 {
				a.StopSentAt = c.loop.Now()
			}
			out = append(out, cluster.Command{Kind: cluster.Stop, Task: a.Task, Attempt: a.Attempt, GraceSeconds: g})
		case a.Phase == state.PhaseReady && !m.StartInDoubt && !m.Releasing && c.loop.Now() >= m.NoStartsBefore && a.Job.IsActive():
			if !mayStart || m.HasUnclearedAttempt(a.Task) {
				continue
			}
			starts = append(starts, cluster.Command{Kind: cluster.Start, Task: a.Task, Attempt: a.Attempt})
		case a.IsCompleted() && !m.StartInDoubt && !urgentOnly && a.IsOutcomeStored():
			out = append(out, cluster.Command{Kind: cluster.Acknowledge, Task: a.Task, Attempt: a.Attempt})
		}
	}
	if !urgentOnly {
		for _, t := range state.SortedAttempts(m.UnrecordedToStop) {
			out = append(out, cluster.Command{Kind: cluster.Stop, Task: t.Task, Attempt: t.Attempt})
		}
		if !m.StartInDoubt {
			for _, t := range state.SortedAttempts(m.EndedToAcknowledge) {
				out = append(out, cluster.Command{Kind: cluster.Acknowledge, Task: t.Task, Attempt: t.Attempt})
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

// reconcile compares a worker's account with what is believed of it. It
// returns false for an account older than one already taken in.
func (c *Controller) reconcile(m *state.Machine, r *cluster.HeartbeatStatus, viaOrders bool) bool {
	fresh := r.Incarnation > m.Incarnation
	if r.Incarnation < m.Incarnation || !fresh && r.SequenceNumber <= m.SequenceNumber {
		return false
	}
	// A lease that ran out, or a start in an answer without effect, may mean
	// that what is sent to the machine does not reach it though its reports
	// come. A higher token, once acknowledged, proves that it does; until then
	// the machine gets no new work, and in the end it is returned.
	deaf := fresh && m.Incarnation > 0
	m.Incarnation, m.SequenceNumber, m.LastHeartbeat = r.Incarnation, r.SequenceNumber, c.loop.Now()
	if m.Booting {
		m.Booting = false
		c.handleMachineBooted(m)
	}
	if m.Address != r.Addr && r.Addr != "" {
		m.Address = r.Addr
	}
	c.reconcileToken(m, r)
	if fresh {
		m.CachedImages = nil
	}
	if r.PreemptionNotice >= 0 {
		c.handlePreemptionNotice(m, r.PreemptionNotice)
	}
	present := c.reconcilePresent(m, r)
	if m.TokenAcknowledged {
		// Only under our token is absence proof: the report may be minutes
		// old, or an earlier holder's late start may still be executed.
		deaf = c.reconcileAbsent(m, r, present, fresh, viaOrders) || deaf
	}
	if deaf && m.TokenAcknowledged {
		c.inventory.RaiseToken(m)
	}
	m.ForgetCleared(present)
	return true
}

// reconcileToken takes in which token a worker has seen.
func (c *Controller) reconcileToken(m *state.Machine, r *cluster.HeartbeatStatus) {
	// A worker that has seen no token at all, on a machine that nobody but this
	// claim has ever owned, can have no older command on its way to it.
	acked := r.FencingToken == m.Token || r.FencingToken == 0 && m.Token == m.InitialToken && !m.StartInDoubt && !m.RaisingToken
	if m.TokenAcknowledged && !acked {
		m.UnacknowledgedSince = c.loop.Now()
	}
	m.TokenAcknowledged = acked
	if acked && m.AwaitingFirstAcknowledgement {
		p := c.state.Shards[m.ShardID]
		m.AwaitingFirstAcknowledgement = false
		p.AwaitingFirstAcknowledgementCount--
		p.LastAcknowledgedAt = c.loop.Now()
	}
	if m.TokenAcknowledged && !m.RaisingToken {
		m.StartInDoubt = false
	}
}

// reconcilePresent takes in the tasks that a report shows, and returns them. It
// goes by start, not by task: an old report may show an earlier attempt of a
// task that runs here now, and must not make that one look gone.
func (c *Controller) reconcilePresent(m *state.Machine, r *cluster.HeartbeatStatus) map[state.TaskAttempt]bool {
	present := make(map[state.TaskAttempt]bool, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		present[state.TaskAttempt{Task: t.Task, Attempt: t.Attempt}] = true
		a := m.Assignments[t.Task]
		if a == nil || a.Attempt != t.Attempt {
			c.handleUnrecordedTask(m, t)
			continue
		}
		c.applyTaskStatus(m, a, t)
	}
	return present
}

// reconcileAbsent takes in that a report under our token does not show the other
// tasks. It tells whether a start was lost that an answer carried.
func (c *Controller) reconcileAbsent(m *state.Machine, r *cluster.HeartbeatStatus, present map[state.TaskAttempt]bool, fresh, viaOrders bool) bool {
	lostInAnswer := false
	for _, a := range m.SortedAssignments() {
		if present[a.TaskAttempt()] || a.ConfirmedAbsent {
			continue
		}
		switch a.Phase {
		case state.PhaseUnverified, state.PhaseAcknowledged:
			c.confirmAbsent(m, a)
		case state.PhaseDispatched:
			arrived := !a.Pushed && !viaOrders && r.SequenceNumber > a.DispatchedAtSequence // the answer that carried it
			if !fresh && !arrived && !(a.Pushed && !m.StartInDoubt && !m.PushInFlight) {
				continue
			}
			a.Phase = state.PhaseReady
			lostInAnswer = lostInAnswer || !a.Pushed
			if !a.Job.IsActive() {
				c.confirmAbsent(m, a)
			}
		case state.PhaseEnded:
			if a.Cause != cluster.CauseCompleted || a.IsOutcomeStored() {
				c.confirmAbsent(m, a)
			}
		}
	}
	return lostInAnswer
}

// confirmAbsent notes that a task is proven to be off the machine. The record must
// say so before it may start elsewhere; when nobody waits for that, it can
// share a later write.
func (c *Controller) confirmAbsent(m *state.Machine, a *state.Assignment) {
	if a.ConfirmedAbsent {
		return
	}
	m.MarkConfirmedAbsent(a)
	if a.Job.Assignments[a.Task.Index] == a && a.Job.IsActive() {
		c.inventory.WriteMachine(m, writequeue.Start)
		return
	}
	// Nobody waits for it: the next checkpoint takes it along.
}

// handleUnrecordedTask is a task that the machine's record does not list.
func (c *Controller) handleUnrecordedTask(m *state.Machine, t *cluster.TaskStatus) {
	s := state.TaskAttempt{Task: t.Task, Attempt: t.Attempt}
	if c.applyUnrecordedCompletion(m, t) {
		return
	}
	if t.State == cluster.Ended {
		delete(m.UnrecordedToStop, s)
		m.EndedToAcknowledge[s] = true
		return
	}
	if !m.UnrecordedToStop[s] {
		c.loop.Log(messages.LogInfo, "stray task", "machine", string(m.ID), "task", t.Task.String(), "attempt", uint64(t.Attempt))
	}
	m.UnrecordedToStop[s] = true
}

// applyUnrecordedCompletion takes in that a task has run to its end under an earlier
// holder of its part, who had not stored that yet. The worker shows it until it
// is stored. It returns false where that is of no use here.
func (c *Controller) applyUnrecordedCompletion(m *state.Machine, t *cluster.TaskStatus) bool {
	j := c.state.Jobs.Owned[t.Task.Job]
	if t.State != cluster.Ended || t.Cause != cluster.CauseCompleted || j == nil || !j.IsActive() || t.Task.Index >= len(j.TaskStates) || m.Assignments[t.Task] != nil {
		return false
	}
	if j.ChunksLoading > 0 { // perhaps it is stored already
		return true
	}
	if j.TaskStates[t.Task.Index] != state.TaskPending {
		return false
	}
	a := &state.Assignment{Task: t.Task, MachineID: m.ID, Job: j, Attempt: t.Attempt, Phase: state.PhaseEnded, Cause: cluster.CauseCompleted, ResourceRequest: j.Spec.ResourceRequest, StartUnobserved: true, RemovedFromRecord: true}
	m.AddAssignment(a)
	c.recordTaskDone(j, t.Task.Index)
	return true
}

// recordTaskDone notes that a task has run to its end; with the last of its job that
// is stored at once.
func (c *Controller) recordTaskDone(j *state.Job, index int) {
	j.SetCompleted(index)
	if j.FinalStatus == "" && j.ChunksLoading == 0 && j.CompletedCount == j.Spec.Tasks {
		c.writeJob(j, writequeue.Admit)
	}
}

// applyTaskStatus takes in one listed task's state.
func (c *Controller) applyTaskStatus(m *state.Machine, a *state.Assignment, t *cluster.TaskStatus) {
	if a.Phase == state.PhaseEnded {
		return
	}
	a.StartUnobserved = a.StartUnobserved || a.Phase == state.PhaseUnverified
	a.Phase = state.PhaseAcknowledged
	a.State = t.State
	switch t.State {
	case cluster.Running:
		if a.RunningSince == 0 {
			a.RunningSince = c.loop.Now()
			if a.Job.FirstRunAt == 0 {
				a.Job.FirstRunAt = c.loop.Now()
			}
			a.Job.LastRunAt = c.loop.Now()
			m.AddCachedImage(a.Job, c.state.MachineTypes[m.MachineType].CacheGB)
		}
	case cluster.Ended:
		c.handleTaskEnded(m, a, t)
	}
}

func (c *Controller) handleTaskEnded(m *state.Machine, a *state.Assignment, t *cluster.TaskStatus) {
	j := a.Job
	m.MarkEnded(a, t.Cause)
	if t.Cause == cluster.CauseCompleted {
		c.scheduler.RunTimes.Record(m, a)
		c.recordTaskDone(j, a.Task.Index)
		return
	}
	switch t.Cause {
	case cluster.CauseFailed:
		c.handleTaskError(m, a)
	case cluster.CauseNoCapacity, cluster.CauseDuplicateAttempt:
		m.NoStartsBefore = c.loop.Now() + 3*second
	case cluster.CauseUnknownTask:
		j.BackoffUntil = c.loop.Now() + 3*second
	}
	c.confirmAbsent(m, a)
	if !j.IsActive() {
		m.EndedToAcknowledge[a.TaskAttempt()] = true
	}
}

// handleTaskError tells a faulty machine from a faulty job: several jobs failing
// on one machine speak against the machine, one job failing on several
// machines against the job, which is then retried ever more slowly.
func (c *Controller) handleTaskError(m *state.Machine, a *state.Assignment) {
	j := a.Job
	m.TaskErrors++
	m.FailedJobs[j.Spec.ID] = true
	j.TaskErrors++
	j.FailedMachines[m.ID] = true
	if len(j.FailedMachines) >= 2 {
		j.BackoffUntil = c.loop.Now() + min(second<<min(len(j.FailedMachines)+j.TaskErrors/2, 6), 60*second)
	}
	if len(m.FailedJobs) >= 2 && !m.Draining {
		c.loop.Log(messages.LogInfo, "machine fails tasks", "machine", string(m.ID), "errors", m.TaskErrors)
		c.drainMachine(m)
	}
}

func (c *Controller) drainMachine(m *state.Machine) {
	m.Draining = true
	c.scheduler.Trigger.Request()
}
