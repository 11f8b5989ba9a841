package state

import (
	"sort"

	"stairrelay/internal/cluster"
)

// AssignmentPhase is how far a task has come on its machine. The machine's stored
// record lists every task from phaseReady on; an assignment ends only after a stored
// record without it.
type AssignmentPhase uint8

// The phases of an assignment, in the order in which it goes through them.
const (
	// PhaseRecording: the record that lists it is not stored yet.
	PhaseRecording AssignmentPhase = iota
	// PhaseReady: recorded, the start may be sent.
	PhaseReady
	// PhaseDispatched: the start was sent, no heartbeat has shown the task.
	PhaseDispatched
	// PhaseAcknowledged: a heartbeat has shown the task.
	PhaseAcknowledged
	// PhaseEnded: a heartbeat has shown that it ended.
	PhaseEnded
	// PhaseUnverified: listed by an earlier owner's record, not compared with a
	// heartbeat yet.
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
	Cause           cluster.Cause     // of its end
	State           cluster.TaskState // by the last heartbeat that showed it
	RunningSince    cluster.Time

	ConfirmedAbsent   bool // proven not to be on the machine; waits for the record to say so
	RemovedFromRecord bool // completed, and the stored record does not list it any more
	CountedInUsage    bool // in its machine's usage
	StartUnobserved   bool // this controller did not see its start

	Pushed               bool                   // its start was pushed, not sent with a heartbeat's answer
	DispatchedAtSequence cluster.SequenceNumber // of the worker's last heartbeat when the start was sent

	StopRequested   bool         // it is to be stopped
	StopRequestedAt cluster.Time // when that was decided
	StopSentAt      cluster.Time
	GraceSeconds    float64 // in seconds, for a checkpoint
}

// TaskAttempt is one start of a task. A worker may hold two at once: it refuses a
// second attempt as busy and reports both.
type TaskAttempt struct {
	Task    cluster.TaskID
	Attempt cluster.Attempt
}

// TaskAttempt returns the start of the task that the assignment stands for.
func (a *Assignment) TaskAttempt() TaskAttempt { return TaskAttempt{a.Task, a.Attempt} }

// IsCompleted tells whether a heartbeat has shown that the task has run to its end.
func (a *Assignment) IsCompleted() bool {
	return a.Phase == PhaseEnded && a.Cause == cluster.CauseCompleted
}

// IsLive tells whether the task takes room on its machine.
func (a *Assignment) IsLive() bool { return a.Phase != PhaseEnded && !a.ConfirmedAbsent }

// IsCheckpointable tells whether a heartbeat has shown the task running, and it can save.
func (a *Assignment) IsCheckpointable() bool {
	return a.Phase == PhaseAcknowledged && !a.ConfirmedAbsent && a.Job.Spec.CheckpointIntervalSeconds > 0
}

// IsGraceExpired tells whether the worker should have stopped the task by now.
func (a *Assignment) IsGraceExpired(now cluster.Time) bool {
	return a.StopSentAt > 0 && float64(now-a.StopSentAt)/float64(cluster.Second) > a.GraceSeconds+2
}

// IsOutcomeStored tells whether the job's record says how the task ended.
func (a *Assignment) IsOutcomeStored() bool {
	return a.Job.FinalStatus != "" || a.Job.TaskStates[a.Task.Index] == TaskCompletionStored
}

// MarkRecorded notes that the stored record lists the task, and tells whether that was
// waited for. Only from here on its start may be sent: an owner that takes the shard
// over learns from the record alone what may be running, and would start a task again
// that the record does not list.
func (a *Assignment) MarkRecorded() bool {
	if a.Phase != PhaseRecording {
		return false
	}
	a.Phase = PhaseReady
	return true
}

// MarkRemovedFromRecord notes that the stored record no longer lists the task, which has
// completed, and tells whether it may be forgotten. As long as its outcome is not stored
// too, it may not: a second start would find nothing that says that it has completed.
func (a *Assignment) MarkRemovedFromRecord() bool {
	a.RemovedFromRecord = true
	return a.IsOutcomeStored()
}

// SortedAttempts lists attempts by task and attempt.
func SortedAttempts(m map[TaskAttempt]bool) []TaskAttempt {
	l := make([]TaskAttempt, 0, len(m))
	for t := range m {
		l = append(l, t)
	}
	sort.Slice(l, func(i, k int) bool {
		a, b := l[i], l[k]
		if a.Task != b.Task {
			return a.Task.Job < b.Task.Job || a.Task.Job == b.Task.Job && a.Task.Index < b.Task.Index
		}
		return a.Attempt < b.Attempt
	})
	return l
}
