package admission

import (
	"sync"
	"time"

	"gentianstand/internal/job"
)

const (
	// lateFactor times its objective is how long a job may take to be taken in. Twice
	// that late, its end is of little use to most callers; and work beyond it waits until
	// the load is over, as work that is in time goes first.
	lateFactor = 1.5
	// backlogTTL is how long a backlog is believed. An instance that has heard nothing for
	// longer takes a job in, and learns the backlog from the answer.
	backlogTTL = 2 * time.Second
	// minRetryAfter and latestReturn bound when a refused caller is to come back: no
	// backlog changes much within the one, and no forecast holds beyond the other.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// Controller is the newest backlog that an instance was told. It is safe for concurrent use.
type Controller struct {
	mu        sync.Mutex
	backlogs  []Backlog
	updatedAt time.Time
}

// Update takes in the backlogs of a moment.
func (c *Controller) Update(backlogs []Backlog, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backlogs, c.updatedAt = backlogs, now
}

// Wait returns how long work of a service and priority that is accepted now would wait
// at most, as far as known. Meanwhile the workers went on.
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

// ShouldRefuse reports whether a job should be refused, and when its caller should come back.
// Refused are jobs that would take longer than lateFactor allows: their ends would be of
// no use, and their callers would not know. That is the less urgent queues first, and of
// each queue the shortest jobs. What lasts, or is for later, has no such time.
func (c *Controller) ShouldRefuse(r *job.Record, now time.Time) (retryAfter time.Duration, refuse bool) {
	if r.Schedule != nil || r.Lasts() {
		return 0, false
	}
	excess := c.Wait(r.Service, r.Priority, now) - time.Duration(lateFactor*float64(r.Objective()))
	if excess <= 0 {
		return 0, false
	}
	return min(max(excess, minRetryAfter), maxRetryAfter), true
}
