package routing

import "time"

// waiter is one request in a pool's queue.
type waiter struct {
	grant    *Grant
	rank     int
	deadline time.Time
	sequence uint64
	// result gets the grant's error, or nil when the slot is taken.
	result chan error
}

// before orders the queue: the more urgent first, then the longer waiting.
func (w *waiter) before(o *waiter) bool {
	if w.rank != o.rank {
		return w.rank < o.rank
	}
	return w.sequence < o.sequence
}
