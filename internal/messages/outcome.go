package messages

// Outcome is the result of an outgoing call. It distinguishes calls that were definitely
// not executed, which can be retried, from calls that may have been executed, whose
// effect must be read back before a retry unless the call is idempotent.
type Outcome int

// The outcomes of outgoing calls.
const (
	OK             Outcome = iota // the call was executed
	Conflict                      // a precondition of the call failed, so nothing was executed
	NotApplied                    // the call was definitely not executed and can be retried
	UnknownOutcome                // the call may have been executed, or may still be executed later
	NotFound                      // the requested object or capacity does not exist
	Compacted                     // the changes since the requested revision can no longer be read
	Throttled                     // the rate limit was exceeded, so the call was not executed
	Invalid                       // the request was rejected as malformed
)
