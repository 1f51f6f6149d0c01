package ownership

import "gentianstand/internal/live"

// Identity is what a process writes about itself.
type Identity struct {
	Process     live.Process
	Address     string
	PeerAddress string
	Region      string
	Zone        string
}
