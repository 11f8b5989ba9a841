package messages

import (
	"stairrelay/internal/cluster"
)

// Respond answers an incoming request. At most one of View, Heartbeat and Peer is set,
// depending on the kind of the request.
type Respond struct {
	Request    RequestID
	Status     ResponseStatus
	RetryAfter int                // seconds after which a rejected request may be retried, or 0 if unspecified
	View       *cluster.JobView   // for a user's request about a job
	Heartbeat  *HeartbeatResponse // for a worker's heartbeat
	Peer       *PeerMessage       // for a message from another controller
	Error      string             // why the request was rejected
}

// HeartbeatResponse carries commands to the worker that sent a heartbeat, or redirects
// the worker to another controller.
type HeartbeatResponse struct {
	FencingToken cluster.FencingToken
	Commands     []cluster.Command
	RedirectTo   cluster.NodeID // the controller that owns the worker; only with StatusMisdirected, and empty if unknown
}

// ResponseStatus is the status of the response to an incoming request. Its values are the
// HTTP status codes of the protocol.
type ResponseStatus int

// The response statuses.
const (
	StatusNone            ResponseStatus = 0   // no status
	StatusOK              ResponseStatus = 200 // the request was executed
	StatusCreated         ResponseStatus = 201 // a new job was accepted
	StatusBadRequest      ResponseStatus = 400 // the request is invalid
	StatusJobNotFound     ResponseStatus = 404 // the job does not exist
	StatusMisdirected     ResponseStatus = 421 // the worker must send its heartbeats to another controller
	StatusUnschedulable   ResponseStatus = 422 // the job can never run
	StatusTooManyRequests ResponseStatus = 429 // the request exceeds a limit and may be retried later
	StatusUnavailable     ResponseStatus = 503 // the controller currently cannot serve the request
)
