package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// ApplyStatus compares a worker's status with what is known of its machine. pushed:
// it came as the answer to a push, not as a heartbeat. It returns false for a status
// that is not newer than the last one applied.
func (r *Reconciler) ApplyStatus(machine *state.Machine, status *cluster.HeartbeatStatus, pushed bool) bool {
	newIncarnation := status.Incarnation > machine.Incarnation
	if status.Incarnation < machine.Incarnation || !newIncarnation && status.SequenceNumber <= machine.SequenceNumber {
		return false
	}
	// A lease that ran out, or a start in an answer without effect, may mean that
	// nothing sent to the machine reaches it though its heartbeats come. A higher
	// token, once acknowledged, proves that it does; until then the machine gets no
	// new work, and in the end it is released.
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
	present := r.applyReportedTasks(machine, status)
	if machine.TokenAcknowledged {
		evidence := absenceEvidence{sequence: status.SequenceNumber, newIncarnation: newIncarnation, pushed: pushed}
		unreachable = r.applyMissingTasks(machine, present, evidence) || unreachable
	}
	if unreachable && machine.TokenAcknowledged {
		r.deps.Machines.RaiseToken(machine)
	}
	machine.ForgetCleared(present)
	return true
}

// handleBooted follows a machine's first heartbeat.
func (r *Reconciler) handleBooted(machine *state.Machine) {
	bootSeconds := int((r.loop.Now() - machine.OwnedSince) / second)
	r.loop.Log(messages.LogDebug, "machine booted", "machine", string(machine.ID), "type", machine.MachineType, "after_s", bootSeconds)
	machine.MarkBooted(r.loop.Now())
	r.deps.RequestScheduling()
}

// applyPresent applies the tasks that a status shows, and returns them. It goes by
// attempt, not by task: an old status may show an earlier attempt of a task that runs
// here now, and must not make that one look absent.
func (r *Reconciler) applyReportedTasks(machine *state.Machine, status *cluster.HeartbeatStatus) map[state.TaskAttempt]bool {
	present := make(map[state.TaskAttempt]bool, len(status.Tasks))
	for i := range status.Tasks {
		task := &status.Tasks[i]
		present[state.TaskAttempt{Task: task.Task, Attempt: task.Attempt}] = true
		assignment := machine.Assignments[task.Task]
		if assignment == nil || assignment.Attempt != task.Attempt {
			r.handleUnrecorded(machine, task)
			continue
		}
		r.applyTaskStatus(machine, assignment, task)
	}
	return present
}

// applyTaskStatus applies the state of a task that the record lists.
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
