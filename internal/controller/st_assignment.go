package controller

import (
	"sort"

	"stairrelay/internal/cluster"
)

// assignmentPhase is how far a task has come on its machine. The machine's stored
// record lists every task from phaseReady on; an assignment ends only after a stored
// record without it.
type assignmentPhase uint8

// The phases of an assignment, in the order in which it goes through them.
const (
	// phaseRecording: the record that lists it is not stored yet.
	phaseRecording assignmentPhase = iota
	// phaseReady: recorded, the start may be sent.
	phaseReady
	// phaseDispatched: the start was sent, no heartbeat has shown the task.
	phaseDispatched
	// phaseAcknowledged: a heartbeat has shown the task.
	phaseAcknowledged
	// phaseEnded: a heartbeat has shown that it ended.
	phaseEnded
	// phaseUnverified: listed by an earlier owner's record, not compared with a
	// heartbeat yet.
	phaseUnverified
)

// assignment is a task that is, or may be, on a machine.
type assignment struct {
	task            cluster.TaskID
	machineID       cluster.MachineID
	job             *job
	attempt         cluster.Attempt
	resourceRequest cluster.Resources
	phase           assignmentPhase
	cause           cluster.Cause     // of its end
	state           cluster.TaskState // by the last heartbeat that showed it
	runningSince    cluster.Time

	confirmedAbsent   bool // proven not to be on the machine; waits for the record to say so
	removedFromRecord bool // completed, and the stored record does not list it any more
	countedInUsage    bool // in its machine's usage
	startUnobserved   bool // this controller did not see its start

	pushed               bool                   // its start was pushed, not sent with a heartbeat's answer
	dispatchedAtSequence cluster.SequenceNumber // of the worker's last heartbeat when the start was sent

	stopRequested   bool         // it is to be stopped
	stopRequestedAt cluster.Time // when that was decided
	stopSentAt      cluster.Time
	gracePeriod     float64 // in seconds, for a checkpoint
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

// isLive tells whether the task takes room on its machine.
func (a *assignment) isLive() bool { return a.phase != phaseEnded && !a.confirmedAbsent }

// isCheckpointable tells whether a report has shown the task running, and it can save.
func (a *assignment) isCheckpointable() bool {
	return a.phase == phaseAcknowledged && !a.confirmedAbsent && a.job.spec.CheckpointSeconds > 0
}

// isGraceExpired tells whether the worker should have stopped the task by now.
func (a *assignment) isGraceExpired(now cluster.Time) bool {
	return a.stopSentAt > 0 && float64(now-a.stopSentAt)/float64(second) > a.gracePeriod+2
}

// isOutcomeStored tells whether the job's record says how the task ended.
func (a *assignment) isOutcomeStored() bool {
	return a.job.finalStatus != "" || a.job.taskStates[a.task.Index] == taskCompletionStored
}

// sortedAttempts lists attempts by task and attempt.
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
