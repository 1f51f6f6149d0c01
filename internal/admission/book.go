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
	// newsFor is how long a backlog is believed. An instance that has heard nothing for
	// longer takes a job in, and learns the backlog from the answer.
	newsFor = 2 * time.Second
	// earliestReturn and latestReturn bound when a refused caller is to come back: no
	// backlog changes much within the one, and no forecast holds beyond the other.
	earliestReturn = time.Second
	latestReturn   = 10 * time.Second
)

// Book is the newest backlog that an instance was told. It is safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	backlogs []Backlog
	at       time.Time
}

// Learn takes in the backlogs of a moment.
func (b *Book) Learn(backlogs []Backlog, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backlogs, b.at = backlogs, now
}

// Wait returns how long work of a service and priority that is accepted now would wait
// at most, as far as known. Meanwhile the workers went on.
func (b *Book) Wait(service string, priority int, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	age := now.Sub(b.at)
	if age > newsFor {
		return 0
	}
	wait := time.Duration(0)
	for _, l := range b.backlogs {
		if l.Service == service && l.Priority <= priority {
			wait = max(wait, l.Wait-age)
		}
	}
	return wait
}

// Refuse reports whether a job should be refused, and when its caller should come back.
// Refused are jobs that would take longer than lateFactor allows: their ends would be of
// no use, and their callers would not know. That is the less urgent queues first, and of
// each queue the shortest jobs. What lasts, or is for later, has no such time.
func (b *Book) Refuse(r *job.Record, now time.Time) (retryAfter time.Duration, refuse bool) {
	if r.Schedule != nil || r.LongRunning() {
		return 0, false
	}
	excess := b.Wait(r.Service, r.Priority, now) - time.Duration(lateFactor*float64(r.Objective()))
	if excess <= 0 {
		return 0, false
	}
	return min(max(excess, earliestReturn), latestReturn), true
}
