package catalog

import (
	"sync/atomic"

	"gentianstand/internal/steady"
)

// Current is the catalog in force in this process. It only moves to higher
// versions: a delayed read of an older one must not bring a removed queue back.
type Current struct{ value atomic.Pointer[View] }

// Get returns the catalog in force, or nil before the first one is known.
func (c *Current) Get() *Catalog { return c.View().Catalog }

// View returns the catalog in force and when it was confirmed.
func (c *Current) View() View {
	if v := c.value.Load(); v != nil {
		return *v
	}
	return View{}
}

// Advance puts next into force and reports whether it did; an older or equal
// version changes nothing. It confirms nothing.
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

// Confirm notes that the catalog in force was the newest at an instant. The instant must be
// one before the question was sent whose answer told.
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
