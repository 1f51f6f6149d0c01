// Package catalog holds what the operator's configuration has in force: which host and path
// belong to which queue, the queue's policy, and which workspaces there are.
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
	// Public says that no key is needed.
	Public bool
	// Timeout bounds one request to the queue.
	Timeout time.Duration
	// The policy that accepted jobs are given; see job.Record.
	Priority    int
	MaxAttempts int
	Stretch     float64
	Target      time.Duration
	Advice      *job.AdviceCost
}
