package admission

import (
	"slices"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/jobmemory"
)

// learnedAfter is the time after which the owner has learned of a stored job, from its instance or from the
// store.
const learnedAfter = time.Second

// admittedBytes is the memory of a job that this instance admitted and that its view does not contain yet.
type admittedBytes struct {
	// at is when the owner has learned of the job at the latest.
	at    time.Time
	bytes int64
}

// admittedMemory is the memory of the jobs since the view, in order of time.
type admittedMemory []admittedBytes

// since removes the jobs before a time.
func (a admittedMemory) since(at time.Time) admittedMemory {
	return slices.DeleteFunc(a, func(j admittedBytes) bool { return j.at.Before(at) })
}

// sum returns the memory of all jobs.
func (a admittedMemory) sum() int64 {
	sum := int64(0)
	for i := range a {
		sum += a[i].bytes
	}
	return sum
}

// fitsMemory reports whether the owner has memory for a job, beside what all instances are assumed to
// have admitted since the view. Without a view that still counts, a fixed limit applies. c.mu must be held.
func (c *Controller) fitsMemory(r *job.Record, now time.Time) bool {
	c.memory = c.memory.since(now.Add(-forgottenAfter))
	age := now.Sub(c.viewAt)
	if age >= forgottenAfter {
		return jobmemory.Usage{Bytes: c.pending + c.memory.sum(), Limit: c.startLimit}.Fits(jobmemory.Of(r))
	}
	scale := c.arrivals.scale(len(c.memory), age)
	added := int64(scale * float64(c.pending+c.memory.sum()))
	return c.view.Jobs.Plus(added).Fits(jobmemory.Of(r))
}
