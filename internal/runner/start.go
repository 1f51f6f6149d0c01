package runner

import (
	"time"

	"gentianstand/internal/compressed"
)

// Start orders a run of a task.
type Start struct {
	Task string
	Run  uint64
	// Spec is the spec text of the task's job.
	Spec  compressed.Text
	Token uint64
	// LeaseUntil is the end of the worker's lease on its own clock.
	LeaseUntil time.Duration
	// Checkpoint is the checkpoint to resume from, or empty.
	Checkpoint string
	// Ticket is the placement adviser's ticket, or empty.
	Ticket string
}
