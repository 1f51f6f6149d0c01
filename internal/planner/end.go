package planner

import (
	"time"

	"gentianstand/internal/run"
	"gentianstand/internal/spec"
	"gentianstand/internal/worker"
)

// endRun ends a run: what is pending is cancelled, what runs is stopped.
func (c *Core) endRun(e *entry, by string, now time.Time) {
	if e.run.State == run.Stopping {
		return
	}
	e.run.State, e.run.CancelledBy = run.Stopping, by
	delete(c.claims, e.run.ID)
	c.markHeadChanged(e)
	action := worker.Kill
	if e.run.Workload.Kind == spec.Service {
		action = worker.Drain
	}
	for i := range e.run.Tasks {
		switch e.run.Tasks[i].State {
		case run.TaskPending:
			c.cancelPending(e, i)
		case run.TaskAssigned:
			c.stopTask(e, i, action)
		}
	}
	c.updateRunState(e, now)
}

// cancelPending ends a task that waits. While the planner recovers, an attempt
// of it may be running unknown to the books; the report of its worker then
// shows a stray attempt, which is stopped.
func (c *Core) cancelPending(e *entry, index int) {
	c.finishTask(e, index, run.TaskCancelled)
}
