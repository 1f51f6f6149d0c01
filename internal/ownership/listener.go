package ownership

import "gentianstand/internal/live"

// Listener hears from a Keeper. Calls come from one goroutine, in order.
type Listener interface {
	// ViewRead brings the watched rows of each successful read.
	ViewRead(view live.View)
	// HeldChanged brings all shards that this process holds.
	HeldChanged(held []HeldShard)
	// SessionLost says that another process took this one's place.
	SessionLost()
}
