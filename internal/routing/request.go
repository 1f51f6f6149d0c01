package routing

import "time"

// Request holds the properties of a request that matter for routing.
type Request struct {
	// ID identifies the attempt; each attempt has its own.
	ID string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Deadline is when the caller stops waiting. It is never zero.
	Deadline time.Time
}
