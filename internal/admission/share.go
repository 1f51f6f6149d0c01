package admission

import "time"

// Share is what is left of a workspace's share, as jobs and as time of all workers. Work is
// negative if its jobs took more room than its share provides.
type Share struct {
	Workspace string
	Jobs      float64
	Work      time.Duration
}
