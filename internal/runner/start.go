package runner

import (
	"time"

	"gentianstand/internal/packed"
)

// Start orders a run of a task.
type Start struct {
	Task string
	Run  uint64
	// Spec is the text of the task's job.
	Spec  packed.Text
	Token uint64
	// LeaseUntil is the end of the worker's lease on its own clock.
	LeaseUntil time.Duration
	// Checkpoint resumes from a checkpoint, or is empty.
	Checkpoint string
	// Ticket is the placement adviser's leave, or empty.
	Ticket string
}
