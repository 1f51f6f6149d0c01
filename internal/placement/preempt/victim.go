// Package preempt chooses the running tasks that are stopped for urgent work.
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
	// Rank is the task's urgency. Only tasks with a higher number than the new work may be
	// stopped.
	Rank int
	// SinceCheckpoint is how long the task has run since its last checkpoint.
	SinceCheckpoint time.Duration
	// Borrowed means that the task runs on resources beyond its team's quota.
	Borrowed bool
	// Protected tasks are never stopped for another team.
	Protected bool
	Team      string
	// Repeatable tasks can run again after they were stopped. Other tasks are never chosen,
	// because stopping them would lose their work permanently.
	Repeatable bool
}

// loss is the work that stopping the task would lose, in milli-core-milliseconds. For
// borrowed resources it is divided by 4.
func (v Victim) loss() int64 {
	cores := v.Need.MilliCPU + 1
	loss := cores * (v.SinceCheckpoint.Milliseconds() + 1)
	if v.Borrowed {
		loss /= 4
	}
	return loss
}
