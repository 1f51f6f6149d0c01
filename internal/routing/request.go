package routing

import "time"

// Request is what a pool needs to know of a request.
type Request struct {
	// ID is unique for each attempt.
	ID string
	// Rank is 0 for the most urgent.
	Rank int
	// Deadline is when the caller stops waiting; never zero.
	Deadline time.Time
}
