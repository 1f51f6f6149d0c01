package routing

import "time"

// waiter is a request in the queue of a pool.
type waiter struct {
	grant    *Grant
	rank     int
	deadline time.Time
	sequence uint64
	// result receives nil when a slot was granted, or the error that ends the wait.
	result chan error
}

// before defines the order of the queue: more urgent waiters first, then those that have waited
// longer.
func (w *waiter) before(o *waiter) bool {
	if w.rank != o.rank {
		return w.rank < o.rank
	}
	return w.sequence < o.sequence
}
