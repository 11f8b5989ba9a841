package messages

import (
	"stairrelay/internal/cluster"
)

// Effect is anything that a controller wants done.
type Effect interface{ isEffect() }

// Ids of what waits for an answer.
type (
	// RequestID names a request that waits for its Respond effect.
	RequestID uint64
	// CallID names an outgoing call that will be answered by a Reply event.
	CallID uint64
)

// PeerCall sends a message to another controller.
type PeerCall struct {
	Call    CallID
	To      cluster.NodeID
	Timeout cluster.Time
	Message PeerMessage
}

// Respond answers a request that came in.
type Respond struct {
	Request    RequestID
	Status     ReplyStatus
	RetryAfter int
	View       *cluster.JobView
	Heartbeat  *HeartbeatResponse
	Peer       *PeerMessage
	Error      string
}

// HeartbeatResponse is the body for a worker.
type HeartbeatResponse struct {
	FencingToken cluster.FencingToken
	Commands     []cluster.Command
	RedirectTo   cluster.NodeID
}

func (StoreTxn) isEffect()          {}
func (StoreGet) isEffect()          {}
func (StoreList) isEffect()         {}
func (StoreWatch) isEffect()        {}
func (CloudMachineTypes) isEffect() {}
func (CloudScaleOut) isEffect()     {}
func (CloudScaleIn) isEffect()      {}
func (CloudList) isEffect()         {}
func (PushCommands) isEffect()      {}
func (QueryWorkerStatus) isEffect() {}
func (PeerCall) isEffect()          {}
func (Respond) isEffect()           {}
func (Log) isEffect()               {}
