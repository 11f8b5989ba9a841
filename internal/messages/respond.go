package messages

import (
	"stairrelay/internal/cluster"
)

// Respond answers an incoming request. At most one of View, Heartbeat and Peer is set,
// depending on the kind of the request.
type Respond struct {
	Request    RequestID
	Status     ReplyStatus
	RetryAfter int                // seconds after which a rejected request may be retried, or 0 if unspecified
	View       *cluster.JobView   // for a user's request about a job
	Heartbeat  *HeartbeatResponse // for a worker's heartbeat
	Peer       *PeerMessage       // for a message from another controller
	Error      string             // why the request was rejected
}

// HeartbeatResponse is the response to a worker's heartbeat.
type HeartbeatResponse struct {
	FencingToken cluster.FencingToken
	Commands     []cluster.Command
	RedirectTo   cluster.NodeID // the controller that owns the worker; only with ReplyMisdirected, and empty if unknown
}

// ReplyStatus is the status of the response to an incoming request. Its values are the
// HTTP status codes of the protocol.
type ReplyStatus int

// The response statuses.
const (
	ReplyNone            ReplyStatus = 0   // no status
	ReplyOK              ReplyStatus = 200 // the request was executed
	ReplyCreated         ReplyStatus = 201 // a new job was accepted
	ReplyBadRequest      ReplyStatus = 400 // the request is invalid
	ReplyJobNotFound     ReplyStatus = 404 // the job does not exist
	ReplyMisdirected     ReplyStatus = 421 // the worker must send its heartbeats to another controller
	ReplyUnschedulable   ReplyStatus = 422 // the job can never run
	ReplyTooManyRequests ReplyStatus = 429 // the request exceeds a limit and may be retried later
	ReplyUnavailable     ReplyStatus = 503 // the controller currently cannot answer
)
