package runner

import "time"

// Poll asks a worker for its state.
type Poll struct {
	Token uint64
	// LeaseUntil is the new end of the worker's lease on its own clock; nil
	// leaves the lease as it is. A lease never becomes shorter.
	LeaseUntil *time.Duration
	// Acknowledged is the highest end that is stored; the worker forgets ends
	// up to it.
	Acknowledged uint64
	// Wait is how long the worker may hold the answer until a task ends.
	Wait time.Duration
}
