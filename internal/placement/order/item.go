// Package order decides whose work is placed first.
package order

import "time"

// Item is pending work of one run.
type Item struct {
	Run  string
	Team string
	// Rank is the urgency, 0 first.
	Rank int
	// LatestStart is when the run must have been started to finish by its deadline;
	// zero if it has none.
	LatestStart time.Time
	// ReadySince is when the work became ready.
	ReadySince time.Time
	// Service says that the tasks answer requests; people wait for them.
	Service bool
	// Gang says that the tasks must start together.
	Gang bool
}
