// Package preempt chooses which running tasks give way to urgent work.
package preempt

import (
	"time"

	"gentianstand/internal/resource"
	"gentianstand/internal/worker"
)

// Victim is a running task that may be stopped.
type Victim struct {
	Ref  worker.TaskRef
	Node int
	Need resource.Amount
	// Rank is the task's urgency; only a higher number gives way.
	Rank int
	// SinceCheckpoint is how long the task has run since its last checkpoint.
	SinceCheckpoint time.Duration
	// Borrowed says that the task uses what its team has borrowed.
	Borrowed bool
	// Protected tasks never give way to another team.
	Protected bool
	Team      string
	// Repeatable tasks can be run again after a stop; others are never
	// chosen, because stopping them would lose their work for good.
	Repeatable bool
}

// loss is what stopping the task throws away: core-seconds, less for what was
// only borrowed.
func (v Victim) loss() int64 {
	cores := v.Need.MilliCPU + 1
	loss := cores * (v.SinceCheckpoint.Milliseconds() + 1)
	if v.Borrowed {
		loss /= 4
	}
	return loss
}
