package cellowner

import (
	"time"

	"gentianstand/internal/upkeep"
)

// MaintenanceDeps is what an owner needs for waves of upkeep.
type MaintenanceDeps struct {
	// Source is nil where the platform has no waves.
	Source upkeep.Source
	Fleet  upkeep.Fleet
	// Holder names this instance to the fleet.
	Holder string
	// Duration is how long an upkeep takes.
	Duration time.Duration
	// HolderLease is how long after one holder's order for a machine another one must
	// not order about it.
	HolderLease time.Duration
}
