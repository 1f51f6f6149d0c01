package callerlimit

// Connection is a caller's connection whose place may be taken away.
type Connection interface {
	// Interrupt ends the wait for the caller. It must not block.
	Interrupt()
}
