package simulation

import (
	"strconv"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire"
)

// maxBodySize is the protocol's size limit for request bodies and for lines of responses, in
// bytes.
const maxBodySize = 64 << 10

// maxSmallMessage is the number of tasks or commands up to which a message is far below
// maxBodySize, so that its size need not be computed.
const maxSmallMessage = 200

// Numbers of fields of a heartbeat and of a task in it.
const (
	heartbeatFieldCount = 10
	taskFieldCount      = 5
)

// taskStateNames and taskCauseNames are the protocol's names of task states and of causes for
// which tasks ended.
var (
	taskStateNames = [...]string{"fetching", "running", "flushing", "ended"}
	taskCauseNames = [...]string{"", "done", "stopped", "error", "full", "busy", "no_such"}
)

// heartbeatSize returns the size of a heartbeat's body, in bytes. All optional fields are
// spelled out.
func heartbeatSize(status *cluster.HeartbeatStatus) int {
	size := len(`{"coach":"","addr":"","fleet":"","yard":"","standby":false,"shift":,"stamp":,"baton":,"recallS":null,"legs":[]}`)
	size += len(status.Machine) + len(status.Addr) + len(status.Type) + len(status.Zone)
	size += digitCount(uint64(status.Incarnation)) + digitCount(uint64(status.SequenceNumber)) + digitCount(uint64(status.FencingToken))
	for _, task := range status.Tasks {
		size += len(`{"leg":"","boarding":,"status":"","cause":"","stored":false},`)
		size += len(task.Task.String()) + digitCount(uint64(task.Attempt))
		size += len(taskStateNames[task.State]) + len(taskCauseNames[task.Cause])
	}
	return size + status.FieldOverhead*(heartbeatFieldCount+taskFieldCount*len(status.Tasks))
}

func digitCount(number uint64) int { return len(strconv.FormatUint(number, 10)) }

// isHeartbeatTooLarge reports whether the body of a heartbeat exceeds the size limit.
func isHeartbeatTooLarge(status *cluster.HeartbeatStatus) bool {
	return len(status.Tasks) > maxSmallMessage && heartbeatSize(status) > maxBodySize
}

// isPushTooLarge reports whether the body of a push exceeds the size limit.
func isPushTooLarge(push *messages.PushCommands) bool {
	return len(push.Commands) > maxSmallMessage && len(wire.EncodePushCommands(*push)) > maxBodySize
}

// isResponseTooLarge reports whether the response to a heartbeat, which is one line, exceeds
// the size limit.
func isResponseTooLarge(response *messages.HeartbeatResponse) bool {
	return len(response.Commands) > maxSmallMessage &&
		len(wire.EncodeHeartbeatResponse(messages.StatusOK, *response)) > maxBodySize
}
