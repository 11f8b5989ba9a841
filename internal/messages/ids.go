package messages

// RequestID identifies an incoming request until a Respond effect answers it.
type RequestID uint64

// CallID identifies an outgoing call until a Reply event answers it.
type CallID uint64
