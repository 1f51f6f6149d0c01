package runner

import "time"

// Look asks a worker for its state.
type Look struct {
	Token uint64
	// LeaseUntil is the new end of the worker's lease on its own clock; nil
	// leaves the lease as it is. A lease never becomes shorter.
	LeaseUntil *time.Duration
	// Acknowledged is the highest end that is stored; the worker forgets ends
	// up to it. Born is the incarnation that listed it: another one would forget ends
	// that nobody has heard, so the client leaves the acknowledgement out unless it is
	// certain to reach this one.
	Acknowledged uint64
	Born         Born
	// Wait is how long the worker may hold the answer until a task ends.
	Wait time.Duration
}
