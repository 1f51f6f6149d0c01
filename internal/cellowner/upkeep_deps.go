package cellowner

import (
	"time"

	"gentianstand/internal/upkeep"
)

// UpkeepDeps is what an owner needs for waves of upkeep.
type UpkeepDeps struct {
	// Source is nil where the platform has no waves.
	Source upkeep.Source
	Fleet  upkeep.Fleet
	// Holder names this instance to the fleet.
	Holder string
	// Lasts is how long an upkeep takes.
	Lasts time.Duration
	// HolderLease is how long after one holder's order for a machine another one must
	// not order about it.
	HolderLease time.Duration
}
