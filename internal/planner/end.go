package planner

import (
	"time"

	"gentianstand/internal/run"
	"gentianstand/internal/spec"
	"gentianstand/internal/worker"
)

// endRun cancels the pending tasks of a run and stops its running ones.
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

// cancelPending cancels a pending task. During recovery an attempt of it may be
// running that the planner has not recorded; the report of its worker then
// shows an orphaned attempt, which is stopped.
func (c *Core) cancelPending(e *entry, index int) {
	c.finishTask(e, index, run.TaskCancelled)
}
