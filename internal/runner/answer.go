package runner

import "time"

// Answer is a worker's answer to an order.
type Answer struct {
	// Clock is the worker's monotonic clock at the time of the answer, or 0 if the
	// answer carried none.
	Clock time.Duration
}
