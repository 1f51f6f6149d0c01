package peer

import (
	"time"

	"gentianstand/internal/live"
	"gentianstand/internal/routing"
)

// Remote is the last known state of another instance.
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
	LastBeatAt   time.Time
	// failedAt is when a call last failed, so that requests avoid the instance.
	failedAt time.Time
}
