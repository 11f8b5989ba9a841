package wire

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"stairrelay/internal/messages"
)

// Errors of calls without a usable response.
var (
	// ErrNotSent means that the request did not reach the server and was not applied.
	ErrNotSent = errors.New("request not sent")
	// ErrResponseTooLarge means that the response was larger than MaxResponseSize and
	// was discarded.
	ErrResponseTooLarge = errors.New("response too large")
)

// Errors of bodies that are valid JSON but lack required fields. They are wrapped in a
// DecodeError.
var (
	// ErrNoMachines means that the response to a scale-out has no list of machines.
	ErrNoMachines = errors.New("no list of machines")
	// ErrNoRevision means that a response of the store has no revision.
	ErrNoRevision = errors.New("no revision")
	// ErrNoValue means that a key has no value or no mod revision.
	ErrNoValue = errors.New("no value or mod revision")
	// ErrNoIdentity means that a heartbeat has no valid machine ID or no incarnation.
	ErrNoIdentity = errors.New("no valid machine ID or no incarnation")
)

// StatusError reports a response with a status other than 200.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns the status code and its name.
func (e *StatusError) Error() string {
	return "status " + strconv.Itoa(e.Status) + " " + http.StatusText(e.Status)
}

// DecodeError reports a body that could not be decoded.
type DecodeError struct {
	Kind string // kind of body, such as "heartbeat"
	Err  error
}

// Error returns the kind of body and the cause. The text for a submission is part of
// the response to the user and must not change.
func (e *DecodeError) Error() string { return "reading " + e.Kind + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// InvalidMachineTypeError reports a machine type without a name or without CPUs.
type InvalidMachineTypeError struct{ Name string }

// Error names the machine type.
func (e *InvalidMachineTypeError) Error() string {
	return fmt.Sprintf("machine type %q has no name or no CPUs", e.Name)
}

// InvalidTaskStatusError reports a task in a heartbeat whose ID is invalid or whose state
// is unknown.
type InvalidTaskStatusError struct {
	Task  string
	State string
}

// Error names the task and its state.
func (e *InvalidTaskStatusError) Error() string {
	return fmt.Sprintf("task %q in state %q has an invalid ID or an unknown state", e.Task, e.State)
}

// OutcomeOf returns the outcome of a call to the store or the cloud that returned
// err. A call counts as not applied only if the status of the response
// guarantees it, since a request that timed out may still be applied minutes later.
func OutcomeOf(err error) messages.Outcome {
	if err == nil {
		return messages.OK
	}
	statusErr, ok := errors.AsType[*StatusError](err)
	if !ok {
		return messages.UnknownOutcome
	}
	switch statusErr.Status {
	case http.StatusTooManyRequests:
		return messages.Throttled
	case http.StatusServiceUnavailable:
		return messages.NotApplied
	case http.StatusBadRequest:
		return messages.Invalid
	}
	return messages.UnknownOutcome
}

// IsStatus reports whether err is a StatusError with the given status.
func IsStatus(err error, status int) bool {
	statusErr, ok := errors.AsType[*StatusError](err)
	return ok && statusErr.Status == status
}
