package messages

// Outcome of a call.
type Outcome int

const (
	// OK: carried out.
	OK Outcome = iota
	// Conflict: compared and refused, nothing carried out.
	Conflict
	// NotApplied: certainly not carried out; may be tried again.
	NotApplied
	// UnknownOutcome: may have been, or may yet be, carried out.
	UnknownOutcome
	// NotFound: the thing asked for does not exist.
	NotFound
	// Compacted: the position asked for is too old.
	Compacted
	// Throttled: over the request limit, not carried out.
	Throttled
	// Invalid: the other side calls the request malformed.
	Invalid
)
