package catalog

import (
	"time"

	"gentianstand/internal/steady"
)

// View is a catalog and until when it is known to have been the newest.
type View struct {
	// Catalog is nil before the first one is known.
	Catalog *Catalog
	// ConfirmedAt is an instant before which no change was acknowledged that the catalog
	// lacks. It means nothing without a catalog.
	ConfirmedAt steady.Instant
}

// Age returns how long ago the view was last known to be the newest.
func (v View) Age(now steady.Instant) time.Duration { return now.Sub(v.ConfirmedAt) }
