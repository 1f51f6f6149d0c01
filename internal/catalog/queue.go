// Package catalog holds the queues that are in force: which host and path
// belong to which queue, and the queue's policy.
package catalog

import (
	"time"

	"gentianstand/internal/job"
)

// Queue is one way in for jobs.
type Queue struct {
	Name string
	// Host and PathPrefix select the queue of a request.
	Host       string
	PathPrefix string
	// Service names the pool of workers that run the tasks.
	Service string
	// Timeout bounds one request to the queue.
	Timeout time.Duration
	// The policy that accepted jobs are given; see job.Record.
	Priority    int
	MaxAttempts int
	Stretch     float64
	Target      time.Duration
	Advice      *job.AdviceCost
}
