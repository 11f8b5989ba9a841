package messages

import (
	"stairrelay/internal/cluster"
)

// PushCommands sends commands to a worker without waiting for its next
// heartbeat. A PushCommandsReply answers it.
type PushCommands struct {
	Call         CallID
	Addr         string
	FencingToken cluster.FencingToken
	Incarnation  cluster.Incarnation
	Commands     []cluster.Command
}

// QueryWorkerStatus asks a worker for its status, which changes nothing there. A
// PushCommandsReply answers it.
type QueryWorkerStatus struct {
	Call CallID
	Addr string
}

// PushCommandsReply answers a PushCommands or a QueryWorkerStatus.
type WorkerReply struct {
	Outcome Outcome
	Status  cluster.HeartbeatStatus // set with OK and Conflict
}
