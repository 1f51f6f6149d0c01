package peer

import (
	"time"

	"gentianstand/internal/live"
	"gentianstand/internal/routing"
)

// Remote is another instance as last heard.
type Remote struct {
	Process      live.Process
	Address      string
	PeerAddress  string
	Region       string
	Zone         string
	ConfigNumber uint64
	Shards       map[string]uint64
	Slots        map[string]routing.Slots
	Stopping     bool
	HeardAt      time.Time
	// failedAt is when a call last failed, so that requests avoid it.
	failedAt time.Time
}
