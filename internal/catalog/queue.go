// Package catalog holds the operator's configuration that is in force: the queues with the
// host, path and policy of each, and the workspaces.
package catalog

import (
	"time"

	"gentianstand/internal/job"
)

// Queue is an entry point for requests and jobs. It determines the policy of the jobs that it
// accepts.
type Queue struct {
	Name string
	// Host and PathPrefix select the queue of a request.
	Host       string
	PathPrefix string
	// Service names the pool of workers that run the tasks.
	Service string
	// Public is set if requests need no API key.
	Public bool
	// Timeout bounds one request to the queue.
	Timeout time.Duration
	// The remaining fields are the policy of accepted jobs; see job.Record.
	Priority    int
	MaxAttempts int
	Stretch     float64
	Target      time.Duration
	Advice      *job.AdviceCost
}
