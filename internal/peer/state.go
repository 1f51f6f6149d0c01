package peer

import "gentianstand/internal/routing"

// State is what this instance sends to others about itself.
type State struct {
	ConfigNumber  uint64
	Shards        map[string]uint64
	Slots         map[string]routing.Slots
	Stopping      bool
	SilenceMillis int64
}
