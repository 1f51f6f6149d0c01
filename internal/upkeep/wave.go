package upkeep

import "time"

// Wave is an operator's wish for the upkeep of some machines.
type Wave struct {
	Number   uint64
	Machines []string
	// TargetDuration is the time in which all of them should have had their upkeep.
	TargetDuration time.Duration
	// MaxConcurrent is how many of them may be down for it at the same time.
	MaxConcurrent int
}
