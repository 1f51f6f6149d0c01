package planner

import (
	"time"

	"gentianstand/internal/run"
	"gentianstand/internal/spec"
)

const (
	// maxRestarts is under how many workers in a row that restarted a task is given up:
	// two may be bad luck.
	maxRestarts = 3
	// startupPeriod is how long a task must have run for the restart of its worker to have
	// another cause. Owners report every second or two.
	startupPeriod = 10 * time.Second
)

// handleWorkerRestart handles an attempt that went with its worker's process. The task may be what
// crashes its workers, so such restarts are counted with it; it waits before it starts
// again, and unless it is a service it is given up.
func (c *Core) handleWorkerRestart(e *entry, index int, now time.Time) {
	t := &e.run.Tasks[index]
	if !t.StartedAt.IsZero() && now.Sub(t.StartedAt) >= startupPeriod {
		t.Restarts = 0
	} else {
		t.Restarts++
	}
	if t.Restarts > 1 {
		t.NotBefore = now.Add(retryDelay(t.Restarts - 1))
	}
	if t.Restarts < maxRestarts || !e.repeatable() || e.run.Workload.Kind == spec.Service {
		c.attemptLost(e, index, "the worker restarted", now)
		return
	}
	c.removeAssignment(e, index)
	t.EndedAt, t.Reason = now, "its workers restarted when it started"
	c.finishTask(e, index, run.TaskFailed)
	c.updateRunState(e, now)
}
