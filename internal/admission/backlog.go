package admission

import "time"

// Backlog is how long the accepted work of a service's queues takes that goes before new
// work of one priority, or beside it, with all workers. There is none where workers have
// room.
type Backlog struct {
	Service  string
	Priority int
	Wait     time.Duration
}
