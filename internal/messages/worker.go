package messages

import (
	"stairrelay/internal/cluster"
)

// PushCommands sends commands to a worker without waiting for its next heartbeat. It is
// answered by a WorkerReply.
type PushCommands struct {
	Call         CallID
	Addr         string
	FencingToken cluster.FencingToken
	Incarnation  cluster.Incarnation
	Commands     []cluster.Command
}

// QueryWorkerStatus reads the status of a worker without side effects. It is answered by a
// WorkerReply.
type QueryWorkerStatus struct {
	Call CallID
	Addr string
}

// WorkerReply answers a PushCommands or a QueryWorkerStatus.
type WorkerReply struct {
	Outcome Outcome
	Status  cluster.HeartbeatStatus // set if the outcome is OK or Conflict
}
