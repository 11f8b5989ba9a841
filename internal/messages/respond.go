package messages

import (
	"stairrelay/internal/cluster"
)

// Respond answers an incoming request. At most one of View, Heartbeat and Peer
// is set, by the kind of the request.
type Respond struct {
	Request    RequestID
	Status     ReplyStatus
	RetryAfter int                // seconds after which a refused request may be sent again; 0: not said
	View       *cluster.JobView   // answers a user's request about a job
	Heartbeat  *HeartbeatResponse // answers a worker's heartbeat
	Peer       *PeerMessage       // answers another controller
	Error      string             // why the request was refused
}

// HeartbeatResponse is the answer to a worker's heartbeat.
type HeartbeatResponse struct {
	FencingToken cluster.FencingToken
	Commands     []cluster.Command
	RedirectTo   cluster.NodeID // with ReplyMisdirected: the controller that owns the worker
}

// ReplyStatus is the status of an answer. The values are those of the protocol's
// HTTP statuses.
type ReplyStatus int

// The statuses of answers.
const (
	ReplyNone            ReplyStatus = 0   // no answer
	ReplyOK              ReplyStatus = 200 // carried out
	ReplyCreated         ReplyStatus = 201 // a new job was admitted
	ReplyBadRequest      ReplyStatus = 400 // the request is invalid
	ReplyJobNotFound     ReplyStatus = 404 // no such job
	ReplyMisdirected     ReplyStatus = 421 // the worker has to send its heartbeats to another controller
	ReplyUnschedulable   ReplyStatus = 422 // the job can never run
	ReplyTooManyRequests ReplyStatus = 429 // the controller can take no more now
	ReplyUnavailable     ReplyStatus = 503 // the answer is not known now
)
