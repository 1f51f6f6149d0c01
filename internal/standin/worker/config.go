package worker

import (
	"time"

	"gentianstand/internal/resource"
)

// Config describes a stand-in worker.
type Config struct {
	ID       string
	Capacity resource.Amount
	Slots    int
	// Work is how long a task runs that says nothing else, and Serve how
	// long a request takes.
	Work  time.Duration
	Serve time.Duration
}
