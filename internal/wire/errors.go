package wire

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"stairrelay/internal/messages"
)

// The errors of a call that got no usable response.
var (
	// ErrNotSent is the error of a call that certainly never reached the other side.
	ErrNotSent = errors.New("not sent")
	// ErrResponseTooLarge is the error of a response longer than MaxResponseSize, none
	// of which is used.
	ErrResponseTooLarge = errors.New("response too large")
)

// The faults of a body that is JSON but lacks what it must have. They are wrapped in a
// DecodeError.
var (
	// ErrNoMachines is the fault of a response to a scale-out without machines.
	ErrNoMachines = errors.New("no list of machines")
	// ErrNoRevision is the fault of a response of the state service without a revision.
	ErrNoRevision = errors.New("no revision")
	// ErrNoValue is the fault of a key without value or mod revision.
	ErrNoValue = errors.New("no value or mod revision")
	// ErrNoIdentity is the fault of a heartbeat that does not say whose it is.
	ErrNoIdentity = errors.New("no machine or incarnation")
)

// StatusError is the error of a call whose response has a status other than 200.
type StatusError struct {
	Status int
	Body   []byte
}

// Error is the status.
func (e *StatusError) Error() string {
	return "status " + strconv.Itoa(e.Status) + " " + http.StatusText(e.Status)
}

// DecodeError is the error of a body that can't be read.
type DecodeError struct {
	What string // what the body should hold
	Err  error
}

// Error names what can't be read, and why. Users get the text of a submission's.
func (e *DecodeError) Error() string { return "reading " + e.What + ": " + e.Err.Error() }

// Unwrap is the fault of the body.
func (e *DecodeError) Unwrap() error { return e.Err }

// InvalidMachineTypeError is the fault of a machine type that can't run anything.
type InvalidMachineTypeError struct{ Name string }

// Error names the type.
func (e *InvalidMachineTypeError) Error() string {
	return fmt.Sprintf("machine type %q without name or CPUs", e.Name)
}

// UnknownTaskError is the fault of a heartbeat with a task whose name or state is not
// the protocol's.
type UnknownTaskError struct {
	Task  string
	State string
}

// Error names the task and its state.
func (e *UnknownTaskError) Error() string {
	return fmt.Sprintf("task %q in state %q", e.Task, e.State)
}

// OutcomeOf tells what the error of a call to the state service or the cloud says about
// its outcome. Only a status that says so makes a call certainly not applied: a request
// that timed out may still be carried out minutes later.
func OutcomeOf(err error) messages.Outcome {
	if err == nil {
		return messages.OK
	}
	refused, ok := errors.AsType[*StatusError](err)
	if !ok {
		return messages.UnknownOutcome
	}
	switch refused.Status {
	case http.StatusTooManyRequests:
		return messages.Throttled
	case http.StatusServiceUnavailable:
		return messages.NotApplied
	case http.StatusBadRequest:
		return messages.Invalid
	}
	return messages.UnknownOutcome
}

// IsStatus tells whether an error is that of a response with the status.
func IsStatus(err error, status int) bool {
	refused, ok := errors.AsType[*StatusError](err)
	return ok && refused.Status == status
}
