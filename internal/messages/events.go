package messages

import (
	"stairrelay/internal/cluster"
)

// Event is an input of the controller's state machine, which processes one event at a
// time.
type Event interface{ isEvent() }

// Tick reports that the time returned by the state machine as its next wake-up has come.
type Tick struct{}

// Submit is a user's submission of a job. If the body is invalid but has a job ID,
// Rejection and Reason are set. The submission is then rejected only if no job with that
// ID exists, and otherwise answered as an idempotent retry.
type Submit struct {
	Request   RequestID
	Spec      cluster.JobSpec
	Rejection ResponseStatus // StatusBadRequest if the body is invalid, StatusNone otherwise
	Reason    string         // why the body is invalid
}

// Query is a user's request for the status of a job.
type Query struct {
	Request RequestID
	ID      cluster.JobID
}

// Cancel is a user's request to cancel a job.
type Cancel struct {
	Request RequestID
	ID      cluster.JobID
}

// Health is a health check, which asks whether this controller can serve requests.
type Health struct{ Request RequestID }

// Heartbeat is a worker's heartbeat, which contains its status.
type Heartbeat struct {
	Request RequestID
	Status  cluster.HeartbeatStatus
}

// OversizedHeartbeat is a heartbeat that is larger than the protocol allows. Only the sender is
// known.
type OversizedHeartbeat struct {
	Request RequestID
	Machine cluster.MachineID
	Reason  string // why the heartbeat is rejected
}

// PeerRequest is a message from another controller, which waits for a response.
type PeerRequest struct {
	Request RequestID
	Message PeerMessage
}

// ProcessLoad is a measurement of the load on the process. The engine sends about one per
// second while the load is high, and one more when it no longer is.
type ProcessLoad struct {
	CPUUsage   float64      // fraction of the process's CPU quota that was used
	EventDelay cluster.Time // longest time between an event's arrival and its processing
}

// Reply is the reply to an outgoing call. The type of Body depends on the call. For
// example, it is a TxnReply for a StoreTxn.
type Reply struct {
	Call CallID
	Body ReplyBody
}

func (Tick) isEvent()               {}
func (Submit) isEvent()             {}
func (Query) isEvent()              {}
func (Cancel) isEvent()             {}
func (Health) isEvent()             {}
func (Heartbeat) isEvent()          {}
func (OversizedHeartbeat) isEvent() {}
func (PeerRequest) isEvent()        {}
func (Reply) isEvent()              {}
func (ProcessLoad) isEvent()        {}
