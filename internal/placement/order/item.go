// Package order sorts pending work by the order in which it is placed.
package order

import "time"

// Item is the pending work of one run.
type Item struct {
	Run  string
	Team string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// LatestStart is the latest start with which the run finishes by its deadline; zero if it
	// has no deadline.
	LatestStart time.Time
	// ReadySince is when the work became ready.
	ReadySince time.Time
	// Service means that the tasks serve requests, whose callers wait for the responses.
	Service bool
	// Gang means that the tasks must start together.
	Gang bool
}
