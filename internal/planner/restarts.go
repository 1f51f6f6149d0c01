package planner

import (
	"time"

	"gentianstand/internal/run"
	"gentianstand/internal/spec"
)

const (
	// maxRestarts is the number of successive worker restarts during a task's
	// startup after which the task fails for good. 2 may be a coincidence.
	maxRestarts = 3
	// startupPeriod is how long a task must have run before a restart of its
	// worker is attributed to another cause. Owners report every 1 to 2 s.
	startupPeriod = 10 * time.Second
)

// handleWorkerRestart handles an attempt that ended because its worker's
// process restarted. The task may be what crashes its workers, so such restarts
// are counted per task. The task is retried with backoff and fails after
// maxRestarts, unless it is a service.
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
