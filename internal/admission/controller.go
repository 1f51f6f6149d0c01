package admission

import (
	"sync"
	"time"

	"gentianstand/internal/job"
)

const (
	// lateFactor times a job's objective is the longest expected wait with which the job is
	// accepted. At twice that wait, the result is of little use to most callers. Work beyond
	// the limit would wait until the load is over, because work that still meets its objective
	// runs first.
	lateFactor = 1.5
	// backlogTTL is how long a received backlog is used. An instance without a recent backlog
	// accepts the job and receives the current backlog in the owner's response.
	backlogTTL = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused caller: no backlog
	// changes much within minRetryAfter, and no forecast holds beyond maxRetryAfter.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// Controller holds the newest backlogs that an instance has received and decides which jobs are
// refused. It is safe for concurrent use.
type Controller struct {
	mu        sync.Mutex
	backlogs  []Backlog
	updatedAt time.Time
}

// Update replaces the backlogs with those reported at now.
func (c *Controller) Update(backlogs []Backlog, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backlogs, c.updatedAt = backlogs, now
}

// Wait returns the longest known wait for work of a service and priority that is accepted now,
// or 0 if no recent backlog is known. The age of the backlog is subtracted, because the workers
// have made progress since.
func (c *Controller) Wait(service string, priority int, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.updatedAt)
	if age > backlogTTL {
		return 0
	}
	wait := time.Duration(0)
	for _, l := range c.backlogs {
		if l.Service == service && l.Priority <= priority {
			wait = max(wait, l.Wait-age)
		}
	}
	return wait
}

// ShouldRefuse reports whether a job should be refused and, if so, after which delay its caller
// should retry. A job is refused if it would be later than lateFactor allows: its result would
// be of no use, and its caller would not know in advance. This affects the less urgent queues
// first, and in each queue the shortest jobs. Long-running and scheduled jobs have no such
// limit.
func (c *Controller) ShouldRefuse(r *job.Record, now time.Time) (retryAfter time.Duration, refuse bool) {
	if r.Schedule != nil || r.LongRunning() {
		return 0, false
	}
	excess := c.Wait(r.Service, r.Priority, now) - time.Duration(lateFactor*float64(r.Objective()))
	if excess <= 0 {
		return 0, false
	}
	return min(max(excess, minRetryAfter), maxRetryAfter), true
}
