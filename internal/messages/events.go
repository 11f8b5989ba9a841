package messages

import (
	"stairrelay/internal/cluster"
)

// Event is anything that happens to a controller. The state machine takes one
// event at a time.
type Event interface{ isEvent() }

// Tick says that the time which the state machine asked to be woken at has come.
type Tick struct{}

// Submit is a user's submission. Rejection and Reason are set when its body is
// invalid but names a job's id: if that job is known already, the submission is
// an idempotent retry and is answered like the first one.
type Submit struct {
	Request   RequestID
	Spec      cluster.JobSpec
	Rejection ReplyStatus // ReplyBadRequest for an invalid body, else ReplyNone
	Reason    string      // what is wrong with the body
}

// Query asks for a job's state.
type Query struct {
	Request RequestID
	ID      cluster.JobID
}

// Cancel asks for a job to be cancelled.
type Cancel struct {
	Request RequestID
	ID      cluster.JobID
}

// Health asks whether this controller can serve requests.
type Health struct{ Request RequestID }

// Heartbeat is a worker's heartbeat with its status.
type Heartbeat struct {
	Request RequestID
	Status  cluster.HeartbeatStatus
}

// PeerRequest is another controller's message, which waits for an answer.
type PeerRequest struct {
	Request RequestID
	Message PeerMessage
}

// ProcessLoad says how busy the process is. The engine sends it about once a
// second while the process is busy enough to matter.
type ProcessLoad struct {
	CPUUsage   float64      // share of the allowed processor time that was used
	EventDelay cluster.Time // longest time that an event waited before it was taken
}

// Reply answers an outgoing call. Body is the reply type of that call, such as
// a TxnReply for a StoreTxn.
type Reply struct {
	Call CallID
	Body ReplyBody
}

func (Tick) isEvent()        {}
func (Submit) isEvent()      {}
func (Query) isEvent()       {}
func (Cancel) isEvent()      {}
func (Health) isEvent()      {}
func (Heartbeat) isEvent()   {}
func (PeerRequest) isEvent() {}
func (Reply) isEvent()       {}
func (ProcessLoad) isEvent() {}
