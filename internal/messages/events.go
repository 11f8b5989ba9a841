// Package messages holds what the controller's state machine and its I/O actors
// tell each other: events that happen to a controller, effects that it wants
// done, and the typed replies to those effects. It also has the messages between
// controllers. It knows nothing of the state machine or of the actors.
package messages

import (
	"stairrelay/internal/cluster"
)

// Event is anything that happens to a controller.
type Event interface{ isEvent() }

// Tick says that the time asked for by NextWake has come.
type Tick struct{}

// Submit is a user's checked submission.
type Submit struct {
	Request   RequestID
	Spec      cluster.JobSpec
	Rejection ReplyStatus // ReplyMalformed when the body is unusable but names an id, else 0
	Reason    string      // what is wrong with it
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

// Health asks whether this node can take requests.
type Health struct{ Request RequestID }

// Heartbeat is a worker's report that waits for an answer.
type Heartbeat struct {
	Request RequestID
	Status  cluster.HeartbeatStatus
}

// PeerRequest is another controller's message that waits for an answer.
type PeerRequest struct {
	Request RequestID
	Message PeerMessage
}

// ProcessLoad tells how busy the process is, about once a second while that matters.
type ProcessLoad struct {
	CPUUsage   float64      // processor time used of what is allowed
	EventDelay cluster.Time // how late events were taken up at the worst
}

// Reply answers an outgoing call.
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
