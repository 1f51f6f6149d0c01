package idempotency

// State is the state of a key's request.
type State string

// The states of a key.
const (
	// Started means that the request was sent or is about to be sent.
	Started State = "started"
	// Ended means that an upstream answered the request.
	Ended State = "ended"
	// Unknown means that the request may have been executed.
	Unknown State = "unknown"
)
