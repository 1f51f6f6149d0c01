package admission

import "time"

// Backlog is the estimated time that all workers need for the accepted work of a service's
// queues that runs before, or along with, new work of one priority. There is no backlog while
// workers have free capacity.
type Backlog struct {
	Service  string
	Priority int
	Wait     time.Duration
}
