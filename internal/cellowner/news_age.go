package cellowner

import (
	"sync"
	"time"
)

// newsAge tells how long ago news was read from the store. It is safe for concurrent use.
type newsAge struct {
	mu     sync.Mutex
	readAt time.Time
}

func (n *newsAge) read(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.readAt = now
}

// of returns the age, or 0 if nothing was read yet.
func (n *newsAge) of(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.readAt.IsZero() {
		return 0
	}
	return now.Sub(n.readAt)
}
