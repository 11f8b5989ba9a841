package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// ApplyStatus applies a worker's status to its machine. The argument pushed is true if the
// status came in the reply to a push and not in a heartbeat. If the status is not newer
// than the last one applied, ApplyStatus ignores it and returns false.
func (r *Reconciler) ApplyStatus(machine *state.Machine, status *cluster.HeartbeatStatus, pushed bool) bool {
	newIncarnation := status.Incarnation > machine.Incarnation
	if status.Incarnation < machine.Incarnation || !newIncarnation && status.SequenceNumber <= machine.SequenceNumber {
		return false
	}
	// A new incarnation or a lost start indicates that messages to the machine may be lost
	// although its heartbeats arrive. Its token is raised to detect this. The machine gets
	// no new tasks until the worker acknowledges the token, and is released if that takes
	// too long.
	unreachable := newIncarnation && machine.Incarnation > 0
	machine.Incarnation, machine.SequenceNumber, machine.LastHeartbeat = status.Incarnation, status.SequenceNumber, r.loop.Now()
	if machine.Booting {
		r.handleBooted(machine)
	}
	if status.Addr != "" {
		machine.Address = status.Addr
	}
	r.applyToken(machine, status.FencingToken)
	if newIncarnation {
		machine.CachedImages = nil
	}
	if status.PreemptionNotice >= 0 {
		r.Stops.handlePreemptionNotice(machine, status.PreemptionNotice)
	}
	machine.FieldOverhead = status.FieldOverhead
	reported := r.applyReportedTasks(machine, status)
	if machine.TokenAcknowledged {
		evidence := absenceEvidence{sequence: status.SequenceNumber, newIncarnation: newIncarnation, pushed: pushed}
		unreachable = r.applyMissingTasks(machine, reported, evidence) || unreachable
	}
	if unreachable && machine.TokenAcknowledged {
		r.deps.Machines.RaiseToken(machine)
	}
	machine.PruneStaleAttempts(reported)
	if !pushed {
		machine.OversizedSince = 0
	}
	r.reduceExcessTasks(machine)
	return true
}

// handleBooted marks a machine as booted when its first status arrives, and requests a
// scheduling run.
func (r *Reconciler) handleBooted(machine *state.Machine) {
	bootSeconds := int((r.loop.Now() - machine.OwnedSince) / second)
	r.loop.Log(messages.LogDebug, "machine booted", "machine", string(machine.ID), "type", machine.MachineType, "after_s", bootSeconds)
	machine.MarkBooted(r.loop.Now())
	r.deps.RequestScheduling()
}

// applyReportedTasks applies the tasks that a status lists and returns their attempts. It
// matches attempts rather than tasks, because the worker may still report an earlier
// attempt of a task, which must not be mistaken for the current one.
func (r *Reconciler) applyReportedTasks(machine *state.Machine, status *cluster.HeartbeatStatus) map[state.TaskAttempt]bool {
	reported := make(map[state.TaskAttempt]bool, len(status.Tasks))
	machine.UntrackedTaskCount = 0
	for i := range status.Tasks {
		task := &status.Tasks[i]
		reported[state.TaskAttempt{Task: task.Task, Attempt: task.Attempt}] = true
		assignment := machine.Assignments[task.Task]
		if assignment == nil || assignment.Attempt != task.Attempt {
			r.handleUnrecorded(machine, task, status.FencingToken)
			continue
		}
		r.applyTaskStatus(machine, assignment, task)
	}
	return reported
}

// applyTaskStatus applies the reported state of a task that is assigned to the machine,
// unless the task's end was already applied.
func (r *Reconciler) applyTaskStatus(machine *state.Machine, assignment *state.Assignment, task *cluster.TaskStatus) {
	if assignment.Phase == state.PhaseEnded {
		return
	}
	assignment.Acknowledge(task.State)
	switch task.State {
	case cluster.Running:
		if assignment.RecordRunning(r.loop.Now()) {
			machine.AddCachedImage(assignment.Job, r.state.MachineTypes[machine.MachineType].CacheGB)
		}
	case cluster.Ended:
		r.handleTaskEnded(machine, assignment, task.Cause)
	case cluster.Fetching, cluster.Checkpointing:
	}
}
