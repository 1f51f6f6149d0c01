package catalog

import "sync/atomic"

// Current is the catalog in force in this process. It only moves to higher
// versions: a delayed read of an older one must not bring a removed queue back.
type Current struct{ value atomic.Pointer[Catalog] }

// Get returns the catalog in force, or nil before the first one is known.
func (c *Current) Get() *Catalog { return c.value.Load() }

// Advance puts next into force and reports whether it did; an older or equal
// version changes nothing.
func (c *Current) Advance(next *Catalog) bool {
	for {
		old := c.value.Load()
		if old != nil && next.Version <= old.Version {
			return false
		}
		if c.value.CompareAndSwap(old, next) {
			return true
		}
	}
}
