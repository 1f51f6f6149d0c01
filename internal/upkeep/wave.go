package upkeep

import "time"

// Wave is an operator's request to maintain a set of machines.
type Wave struct {
	Number   uint64
	Machines []string
	// TargetDuration is the time in which all of them should be maintained.
	TargetDuration time.Duration
	// MaxConcurrent is how many of them may be down for maintenance at once.
	MaxConcurrent int
}
