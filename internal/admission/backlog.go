package admission

import "time"

// Backlog is the estimated time that all workers need for the accepted work of a service's
// queues that runs before, or along with, new work of one priority. There is no backlog while
// workers have free capacity.
type Backlog struct {
	Service  string
	Priority int
	// Wait is the time for all work.
	Wait time.Duration
	// ShareWait is the part of Wait for work within the shares of its workspaces.
	ShareWait time.Duration
	// OverWait is the expected wait of work beyond a share. It is longer than Wait if work within
	// shares, which goes first, continues to arrive.
	OverWait time.Duration
}
