package cellowner

import (
	"time"

	"gentianstand/internal/upkeep"
)

// MaintenanceDeps holds what an owner needs to carry out maintenance waves.
type MaintenanceDeps struct {
	// Source is nil if the platform has no maintenance waves.
	Source upkeep.Source
	Fleet  upkeep.Fleet
	// Holder identifies this instance to the fleet.
	Holder string
	// Duration is how long the maintenance of a machine takes.
	Duration time.Duration
	// HolderLease is how long after an order of one holder for a machine no other holder may send
	// an order for it.
	HolderLease time.Duration
}
