package idempotency

// State is where a key stands.
type State string

// The states of a key.
const (
	// Started means that the request was let go, or is about to be.
	Started State = "started"
	// Ended means that an upstream answered it.
	Ended State = "ended"
	// Unknown means that it may have run.
	Unknown State = "unknown"
)
