package messages

import (
	"stairrelay/internal/cluster"
)

// PushCommands sends commands straight to a worker.
type PushCommands struct {
	Call         CallID
	Addr         string
	FencingToken cluster.FencingToken
	Incarnation  cluster.Incarnation
	Commands     []cluster.Command
}

// QueryWorkerStatus asks a worker for its report; answered by an OrdersReply.
type QueryWorkerStatus struct {
	Call CallID
	Addr string
}

// PushCommandsReply answers Orders; Report is set for OK and Conflict.
type PushCommandsReply struct {
	Outcome Outcome
	Status  cluster.HeartbeatStatus
}
