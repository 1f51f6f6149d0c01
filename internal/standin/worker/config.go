package worker

import (
	"time"

	"gentianstand/internal/resource"
)

// Config holds the settings of a stand-in worker.
type Config struct {
	ID       string
	Capacity resource.Amount
	// Slots is the number of requests that the worker serves concurrently.
	Slots int
	// Work is the run time of a task whose command sets none, and Serve the time to serve
	// a request.
	Work  time.Duration
	Serve time.Duration
}
