package cellowner

import (
	"sync"
	"time"
)

// updateAge tracks the time since updates were last read from the store. It is safe for
// concurrent use.
type updateAge struct {
	mu     sync.Mutex
	readAt time.Time
}

func (n *updateAge) markRead(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.readAt = now
}

// age returns the time since the last read, or 0 if nothing was read yet.
func (n *updateAge) age(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.readAt.IsZero() {
		return 0
	}
	return now.Sub(n.readAt)
}
