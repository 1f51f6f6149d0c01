package runner

import "time"

// Poll requests a worker's report and renews its lease.
type Poll struct {
	Token uint64
	// LeaseUntil is the new end of the worker's lease on its own clock; nil leaves the
	// lease unchanged. A lease is never shortened.
	LeaseUntil *time.Duration
	// Acknowledged is the highest sequence number of an end that is stored; the worker
	// drops ends up to it.
	Acknowledged uint64
	// Wait is how long the worker may hold the answer until a task ends.
	Wait time.Duration
	// Reconnect requests a new connection, because an earlier poll was not answered: open
	// connections may be silent.
	Reconnect bool
}
