package cluster

// TaskState is the state of a task in a worker's heartbeat.
type TaskState int

// The states of a task, in the order in which they occur.
const (
	Fetching TaskState = iota // fetching its image
	Running
	Checkpointing // writing a checkpoint before it stops
	Ended
)

// Cause is the reason why a task ended.
type Cause int

// The causes of the end of a task.
const (
	CauseNone             Cause = iota // the task has not ended
	CauseCompleted                     // the task ran to completion
	CauseStopped                       // a command stopped the task
	CauseFailed                        // the task ended with an error
	CauseNoCapacity                    // the machine does not have enough free resources
	CauseDuplicateAttempt              // another attempt of the task is on the machine
	CauseUnknownTask                   // the worker does not know the task
)

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	Task         TaskID
	Attempt      Attempt
	State        TaskState
	Cause        Cause // CauseNone unless the task has ended
	Checkpointed bool  // a checkpoint was written before the task ended
}

// HeartbeatStatus is the status of a worker in a heartbeat: its identity, the highest
// fencing token that it has seen, and all tasks that it knows.
type HeartbeatStatus struct {
	Machine          MachineID
	Addr             string // host and port at which the worker accepts commands
	Type             string
	Zone             string
	Spot             bool
	Incarnation      Incarnation
	SequenceNumber   SequenceNumber
	FencingToken     FencingToken
	PreemptionNotice float64 // seconds until the cloud preempts the machine; negative if there is no notice
	Tasks            []TaskStatus
	FieldOverhead    int // see the function FieldOverhead; 0 if the encoding is compact
}

// CommandKind is the kind of a command.
type CommandKind int

// The kinds of commands.
const (
	Start       CommandKind = iota // start an attempt of a task
	Stop                           // stop an attempt, after a grace period for a checkpoint
	Acknowledge                    // stop reporting an attempt that has ended
)

// Command is an instruction to a worker. GraceSeconds applies only to Stop.
type Command struct {
	Kind         CommandKind
	Task         TaskID
	Attempt      Attempt
	GraceSeconds float64
}
