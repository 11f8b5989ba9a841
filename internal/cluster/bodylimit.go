package cluster

// MaxBodySize is the protocol's size limit, in bytes, of the body of a request and of a line
// of a response to a worker or a user.
const MaxBodySize = 64 << 10

// Sizes of the messages that controllers and workers exchange, in bytes of compact JSON that
// spells out optional fields. The identifiers are the longest that the protocol allows:
// attempts and tokens of 20 digits, and job IDs of 40 digits.
const (
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
