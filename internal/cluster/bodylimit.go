package cluster

// MaxBodySize is the protocol's size limit, in bytes, of the body of a request and of a line
// of a response to a worker or a user.
const MaxBodySize = 64 << 10

// Sizes of the messages that controllers and workers exchange, in bytes of compact JSON that
// spells out optional fields. The identifiers are the longest that the protocol allows:
// attempts and tokens of 20 digits, and job IDs of 40 digits.
const (
	// maxTaskEntryBytes is the size of a task in a heartbeat with its separator.
	maxTaskEntryBytes = 152
	// maxHeartbeatHeaderBytes is the size of a heartbeat without tasks.
	maxHeartbeatHeaderBytes = 1024
	// maxCommandBytes is the size of a command with its separator.
	maxCommandBytes = 144
	// maxCommandHeaderBytes is the size of a message without commands.
	maxCommandHeaderBytes = 128
)

// MaxCommandBytes is the size of the commands that fit into a heartbeat response or a push.
const MaxCommandBytes = MaxBodySize - maxCommandHeaderBytes

const (
	// maxJobIDLength is the maximum length of a job ID.
	maxJobIDLength = 42
	// maxEscapedBytes is the maximum size of an encoded character.
	maxEscapedBytes = 6
)

// CommandBytes returns an upper bound of the size of a command for a task, with its
// separator. A worker may list a task whose ID is no valid one.
func CommandBytes(task TaskID) int {
	return maxCommandBytes + maxEscapedBytes*max(len(task.Job)-maxJobIDLength, 0)
}

const (
	// taskEntryFieldCount is the number of fields of a task in a heartbeat, plus two for its
	// braces, which may be on lines of their own.
	taskEntryFieldCount = 7
	// taskEntryDepth is the nesting depth of the fields of a task. Indentation is
	// proportional to the depth, which is 1 for the fields of a heartbeat.
	taskEntryDepth = 3
)

// MaxTasksPerHeartbeat returns the number of tasks that a heartbeat can list without
// exceeding MaxBodySize, in whatever states the tasks are. fieldOverhead is the
// HeartbeatStatus.FieldOverhead of the worker.
func MaxTasksPerHeartbeat(fieldOverhead int) int {
	return MaxTaskEntriesBytes(fieldOverhead) / (maxTaskEntryBytes + taskEntryOverhead(fieldOverhead))
}

// taskEntryOverhead returns by how much a task in a heartbeat may exceed its compact encoding.
func taskEntryOverhead(fieldOverhead int) int {
	return fieldOverhead * taskEntryFieldCount * taskEntryDepth
}

// TaskEntryBytes returns the maximum size of a task of a job in a heartbeat with its
// separator, in whatever state the task is.
func TaskEntryBytes(job JobID, fieldOverhead int) int {
	return maxTaskEntryBytes - maxJobIDLength + len(job) + taskEntryOverhead(fieldOverhead)
}

// MaxTaskEntriesBytes returns the maximum size of all tasks in a heartbeat.
func MaxTaskEntriesBytes(fieldOverhead int) int {
	return max(MaxBodySize-maxHeartbeatHeaderBytes-fieldOverhead*heartbeatFieldCount, 0)
}

const (
	// heartbeatFieldCount is the number of fields of a heartbeat.
	heartbeatFieldCount = 10
	// taskFieldCount is the number of fields of a task in a heartbeat.
	taskFieldCount = 5
)

// FieldOverhead returns the mean number of bytes by which each field of a heartbeat exceeds
// its compact encoding, rounded up. size is the size of the heartbeat's body, and compactSize
// that of its compact encoding.
func FieldOverhead(size, compactSize, tasks int) int {
	fields := heartbeatFieldCount + taskFieldCount*tasks
	return max(size-compactSize+fields-1, 0) / fields
}
