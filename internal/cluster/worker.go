package cluster

// TaskState is the state of a task in a worker's heartbeat.
type TaskState int

// The states of a task, in the order in which it passes through them.
const (
	Fetching TaskState = iota // its image is being fetched
	Running
	Checkpointing // it writes a checkpoint because it is to be stopped
	Ended
)

// Cause says why a task ended.
type Cause int

// The causes of a task's end.
const (
	CauseNone             Cause = iota // it has not ended
	CauseCompleted                     // it ran to completion
	CauseStopped                       // a command stopped it
	CauseFailed                        // it ended with an error
	CauseNoCapacity                    // the machine has not enough free resources
	CauseDuplicateAttempt              // another attempt of it is on the machine
	CauseUnknownTask                   // the worker knows no such task
)

// TaskStatus is the account of one task in a worker's heartbeat.
type TaskStatus struct {
	Task         TaskID
	Attempt      Attempt
	State        TaskState
	Cause        Cause // CauseNone until it has ended
	Checkpointed bool  // a checkpoint was written before it ended
}

// HeartbeatStatus is what a worker reports of itself in a heartbeat: identity, the
// highest fencing token that it has seen, and every task that it knows.
type HeartbeatStatus struct {
	Machine          MachineID
	Addr             string // host and port at which it takes commands
	Type             string
	Zone             string
	Spot             bool
	Incarnation      Incarnation
	SequenceNumber   SequenceNumber
	FencingToken     FencingToken
	PreemptionNotice float64 // seconds until the cloud takes the machine; negative: no notice
	Tasks            []TaskStatus
}

// CommandKind says what a command tells a worker to do.
type CommandKind int

// The kinds of commands.
const (
	Start       CommandKind = iota // start an attempt of a task
	Stop                           // stop an attempt, after a grace period for a checkpoint
	Acknowledge                    // stop reporting an attempt that has ended
)

// Command is one instruction to a worker. GraceSeconds applies to Stop only.
type Command struct {
	Kind         CommandKind
	Task         TaskID
	Attempt      Attempt
	GraceSeconds float64
}
