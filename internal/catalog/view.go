package catalog

import (
	"time"

	"gentianstand/internal/boottime"
)

// View is a catalog and the time until which it is known to have been the newest version.
type View struct {
	// Catalog is nil before the first one is known.
	Catalog *Catalog
	// ConfirmedAt is an instant up to which the catalog contains every acknowledged change.
	// It has no meaning without a catalog.
	ConfirmedAt boottime.Instant
}

// Age returns the time since the view was last confirmed.
func (v View) Age(now boottime.Instant) time.Duration { return now.Sub(v.ConfirmedAt) }
