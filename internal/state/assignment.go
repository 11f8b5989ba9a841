package state

import (
	"sort"

	"stairrelay/internal/cluster"
)

// AssignmentPhase is the progress of an assignment. The stored record of the machine's
// group lists the task from PhaseReady on, but may omit the task once it has completed. An
// assignment is removed only after a record without it has been stored.
type AssignmentPhase uint8

// The phases of an assignment. Normally, an assignment goes through the first five in
// order. One that is restored from the record of an earlier owner begins with
// PhaseUnverified.
const (
	// PhaseRecording means that no stored record lists the task yet.
	PhaseRecording AssignmentPhase = iota
	// PhaseReady means that the task is recorded and its start may be sent.
	PhaseReady
	// PhaseDispatched means that the start was sent but no heartbeat has shown the task.
	PhaseDispatched
	// PhaseAcknowledged means that a heartbeat has shown the task.
	PhaseAcknowledged
	// PhaseEnded means that a heartbeat has shown that the task ended.
	PhaseEnded
	// PhaseUnverified means that the record of an earlier owner lists the task and that
	// it has not been compared with a heartbeat yet.
	PhaseUnverified
)

// Assignment is a task that is, or may be, on a machine.
type Assignment struct {
	Task            cluster.TaskID
	MachineID       cluster.MachineID
	Job             *Job
	Attempt         cluster.Attempt
	ResourceRequest cluster.Resources
	Phase           AssignmentPhase
	Cause           cluster.Cause     // why the task ended
	State           cluster.TaskState // from the last heartbeat that showed the task
	RunningSince    cluster.Time

	ConfirmedAbsent   bool // proven not to be on the machine; the stored record may still list it
	RemovedFromRecord bool // completed, and no longer listed by the stored record
	CountedInUsage    bool // included in the usage of its machine
	StartUnobserved   bool // an earlier owner of the shard sent the start

	Pushed               bool                   // the start was pushed, not sent in the response to a heartbeat
	DispatchedAtSequence cluster.SequenceNumber // sequence number of the heartbeat in whose response the start was sent

	StopRequested   bool
	StopRequestedAt cluster.Time // time of the first request
	StopSentAt      cluster.Time
	GraceSeconds    float64 // time for a checkpoint before the stop
}

// TaskAttempt identifies an attempt of a task. A heartbeat may show two attempts of a task,
// because a worker rejects a second attempt with CauseDuplicateAttempt.
type TaskAttempt struct {
	Task    cluster.TaskID
	Attempt cluster.Attempt
}

// TaskAttempt returns the task and attempt of the assignment.
func (a *Assignment) TaskAttempt() TaskAttempt { return TaskAttempt{a.Task, a.Attempt} }

// IsCompleted reports whether a heartbeat has shown that the task ran to completion.
func (a *Assignment) IsCompleted() bool {
	return a.Phase == PhaseEnded && a.Cause == cluster.CauseCompleted
}

// IsLive reports whether the task counts as using resources of its machine. A task does
// unless it has ended or is proven not to be on the machine.
func (a *Assignment) IsLive() bool { return a.Phase != PhaseEnded && !a.ConfirmedAbsent }

// MayRun reports whether the start was sent, by this or an earlier owner, and the task has
// neither ended nor been proven absent.
func (a *Assignment) MayRun() bool {
	switch a.Phase {
	case PhaseDispatched, PhaseAcknowledged, PhaseUnverified:
		return !a.ConfirmedAbsent
	case PhaseRecording, PhaseReady, PhaseEnded:
	}
	return false
}

// IsUnsent reports whether the start was not sent and the assignment was not withdrawn.
func (a *Assignment) IsUnsent() bool {
	return (a.Phase == PhaseRecording || a.Phase == PhaseReady) && !a.ConfirmedAbsent
}

// IsCheckpointable reports whether a heartbeat has shown the task, the task has not ended,
// and its job saves checkpoints.
func (a *Assignment) IsCheckpointable() bool {
	return a.Phase == PhaseAcknowledged && !a.ConfirmedAbsent && a.Job.Spec.CheckpointIntervalSeconds > 0
}

// IsGraceExpired reports whether the worker should have stopped the task by now: the
// grace period and a margin of 2 seconds have passed since the stop was sent.
func (a *Assignment) IsGraceExpired(now cluster.Time) bool {
	return a.StopSentAt > 0 && float64(now-a.StopSentAt)/float64(cluster.Second) > a.GraceSeconds+2
}

// IsOutcomeStored reports whether the task's completion or the final status of its job is
// stored.
func (a *Assignment) IsOutcomeStored() bool {
	return a.Job.FinalStatus != "" || a.Job.TaskStates[a.Task.Index] == TaskCompletionStored
}

// MarkRecorded records that the stored record lists the task. It reports whether the
// assignment was in PhaseRecording. The start must not be sent earlier: after a
// failover, the new owner learns only from the record which tasks may be running, and
// would start an unlisted task a second time.
func (a *Assignment) MarkRecorded() bool {
	if a.Phase != PhaseRecording {
		return false
	}
	a.Phase = PhaseReady
	return true
}

// MarkRemovedFromRecord records that the stored record no longer lists the completed
// task. It reports whether the assignment may be removed. The assignment must be kept
// until the task's outcome is stored, as nothing else prevents the task from being started
// again.
func (a *Assignment) MarkRemovedFromRecord() bool {
	a.RemovedFromRecord = true
	return a.IsOutcomeStored()
}

// SortedAttempts returns the attempts sorted by task and attempt.
func SortedAttempts(attempts map[TaskAttempt]bool) []TaskAttempt {
	sorted := make([]TaskAttempt, 0, len(attempts))
	for t := range attempts {
		sorted = append(sorted, t)
	}
	sort.Slice(sorted, func(i, k int) bool {
		a, b := sorted[i], sorted[k]
		if a.Task != b.Task {
			return a.Task.Job < b.Task.Job || a.Task.Job == b.Task.Job && a.Task.Index < b.Task.Index
		}
		return a.Attempt < b.Attempt
	})
	return sorted
}
