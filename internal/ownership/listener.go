package ownership

import "gentianstand/internal/live"

// Listener receives the events of a Keeper. Calls come from one goroutine, in
// order.
type Listener interface {
	// ViewRead is called with the watched rows after each successful read.
	ViewRead(view live.View)
	// HeldChanged is called with all shards that this process holds.
	HeldChanged(held []HeldShard)
	// SessionLost is called when another process has replaced this one.
	SessionLost()
}
