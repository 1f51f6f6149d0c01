package ownership

import "gentianstand/internal/live"

// Identity is what a process publishes about itself in its row.
type Identity struct {
	Process     live.Process
	Address     string
	PeerAddress string
	Region      string
	Zone        string
}
