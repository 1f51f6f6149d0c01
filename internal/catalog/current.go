package catalog

import (
	"sync/atomic"

	"gentianstand/internal/steady"
)

// Current holds the catalog in force in this process. It only advances to higher versions: a
// delayed read of an older version must not restore a removed queue. It is safe for concurrent
// use; its zero value holds no catalog.
type Current struct{ value atomic.Pointer[View] }

// Get returns the catalog in force, or nil before the first one is known.
func (c *Current) Get() *Catalog { return c.View().Catalog }

// View returns the catalog in force and the time of its last confirmation.
func (c *Current) View() View {
	if v := c.value.Load(); v != nil {
		return *v
	}
	return View{}
}

// Advance puts next into force and reports whether it did. An older or equal version changes
// nothing. The time of the last confirmation stays as it is.
func (c *Current) Advance(next *Catalog) bool {
	for {
		old := c.value.Load()
		changed := View{Catalog: next}
		if old != nil && old.Catalog != nil {
			if next.Version <= old.Catalog.Version {
				return false
			}
			changed.ConfirmedAt = old.ConfirmedAt
		}
		if c.value.CompareAndSwap(old, &changed) {
			return true
		}
	}
}

// Confirm records that the catalog in force was the newest version at an instant. The instant
// must lie before the request was sent whose response confirmed it.
func (c *Current) Confirm(at steady.Instant) {
	for {
		old := c.value.Load()
		if old == nil || at <= old.ConfirmedAt {
			return
		}
		if c.value.CompareAndSwap(old, &View{Catalog: old.Catalog, ConfirmedAt: at}) {
			return
		}
	}
}
