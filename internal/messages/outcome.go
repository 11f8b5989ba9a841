package messages

// Outcome is the result of an outgoing call. Callers have to tell apart calls
// that were certainly not carried out, which may be sent again, and calls that
// may have been, whose result has to be read back first.
type Outcome int

// The outcomes of calls.
const (
	OK             Outcome = iota // the call was carried out
	Conflict                      // a compare failed, nothing was carried out
	NotApplied                    // the call was certainly not carried out and may be sent again
	UnknownOutcome                // the call may have been carried out, or may yet be
	NotFound                      // what was asked for does not exist
	Compacted                     // the store no longer keeps changes as old as the revision asked for
	Throttled                     // the request limit was exceeded, the call was not carried out
	Invalid                       // the other side refused the request as malformed
)
