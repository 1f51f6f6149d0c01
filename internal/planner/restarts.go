package planner

import (
	"time"

	"gentianstand/internal/run"
	"gentianstand/internal/spec"
)

const (
	// mostRestarts is under how many workers in a row that restarted a task is given up:
	// two may be bad luck.
	mostRestarts = 3
	// startingFor is how long a task must have run for the restart of its worker to have
	// another cause. Owners report every second or two.
	startingFor = 10 * time.Second
)

// restarted handles an attempt that went with its worker's process. The task may be what
// crashes its workers, so such restarts are counted with it; it waits before it starts
// again, and unless it is a service it is given up.
func (c *Core) restarted(e *entry, index int, now time.Time) {
	t := &e.run.Tasks[index]
	if !t.StartedAt.IsZero() && now.Sub(t.StartedAt) >= startingFor {
		t.Restarts = 0
	} else {
		t.Restarts++
	}
	if t.Restarts > 1 {
		t.NotBefore = now.Add(retryWait(t.Restarts - 1))
	}
	if t.Restarts < mostRestarts || !e.repeatable() || e.run.Workload.Kind == spec.Service {
		c.vanished(e, index, "the worker restarted", now)
		return
	}
	c.unbook(e, index)
	t.EndedAt, t.Reason = now, "its workers restarted when it started"
	c.finishTask(e, index, run.TaskFailed)
	c.settle(e, now)
}
