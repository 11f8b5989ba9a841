package cluster

// TaskState is a task's state in a worker's report.
type TaskState int

// The states of a task, in the order in which it goes through them.
const (
	Fetching TaskState = iota // its image is being fetched
	Running
	Checkpointing // a checkpoint is being written, since it is to be stopped
	Ended
)

// Cause says why a task ended.
type Cause int

// The causes of a task's end.
const (
	CauseNone             Cause = iota // it has not ended
	CauseCompleted                     // it ran to its end
	CauseStopped                       // by a command
	CauseFailed                        // it failed
	CauseNoCapacity                    // the machine has no room for it
	CauseDuplicateAttempt              // another attempt of it is on the machine
	CauseUnknownTask                   // the worker knows no such task
)

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task         TaskID
	Attempt      Attempt
	State        TaskState
	Cause        Cause
	Checkpointed bool
}

// HeartbeatStatus is a worker's account of itself.
type HeartbeatStatus struct {
	Machine          MachineID
	Addr             string
	Type             string
	Zone             string
	Spot             bool
	Incarnation      Incarnation
	SequenceNumber   SequenceNumber
	FencingToken     FencingToken
	PreemptionNotice float64 // seconds until the cloud takes it; negative: none
	Tasks            []TaskStatus
}

// CommandKind is what a command tells a worker to do.
type CommandKind int

// The verbs of commands.
const (
	Start       CommandKind = iota // start an attempt of a task
	Stop                           // stop it, after a grace for saving
	Acknowledge                    // drop the account of one that has ended
)

// Command is sent to a worker.
type Command struct {
	Kind         CommandKind
	Task         TaskID
	Attempt      Attempt
	GraceSeconds float64
}
