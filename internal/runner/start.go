package runner

import "time"

// Start orders a run of a task.
type Start struct {
	Task  string
	Run   uint64
	Spec  string
	Token uint64
	// LeaseUntil is the end of the worker's lease on its own clock.
	LeaseUntil time.Duration
	// Saved resumes from a checkpoint, or is empty.
	Saved string
	// Ticket is the placement adviser's leave, or empty.
	Ticket string
}
