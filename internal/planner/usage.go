package planner

import (
	"time"

	"gentianstand/internal/estimate"
	"gentianstand/internal/spec"
	"gentianstand/internal/worker"
)

// handleOveruse handles a task that uses more than it was given. Too much processor
// time is throttled. Too much memory cannot be: a task that may be repeated is
// checkpointed and started anew with its true size, elsewhere if need be; one
// that may not is throttled and left. Either way the worker is not oversold,
// because nothing more is placed on what the task was not given.
func (c *Core) handleOveruse(e *entry, index int, status worker.TaskStatus) {
	t := &e.run.Tasks[index]
	c.recordPeak(e, status)
	if t.Stopping {
		return
	}
	memory := status.Used.MemoryMiB > t.Need.MemoryMiB
	if memory && e.run.Workload.Idempotent && e.run.Workload.Kind == spec.Batch {
		c.stopTask(e, index, worker.Checkpoint)
		c.event("task_outgrown", e.run.ID, index, t.Worker, status.Used.String())
		return
	}
	c.outbox.stop(t.Worker, t.Boot, worker.TaskStop{Ref: status.Ref, Action: worker.Throttle})
}

// recordPeak notes a usage above what was declared as if enough tasks had shown
// it, so that the next attempt gets it.
func (c *Core) recordPeak(e *entry, status worker.TaskStatus) {
	h, ok := c.history[e.run.Workload.Name]
	if !ok {
		h = &estimate.History{}
		c.history[e.run.Workload.Name] = h
	}
	h.Outgrown(status.Used)
}

// endsBefore reports whether a task of the run can be trusted to end before
// when.
func (c *Core) endsBefore(e *entry, now, when time.Time) bool {
	w := e.run.Workload
	if w.Kind == spec.Service {
		return false
	}
	if w.RunTimeLimit > 0 && !now.Add(w.RunTimeLimit).After(when) {
		return true
	}
	expected := c.expectedRunTime(e)
	return expected > 0 && !now.Add(expected).After(when)
}

// expectedRunTime returns the corrected run time of a task, 0 if unknown.
func (c *Core) expectedRunTime(e *entry) time.Duration {
	h, ok := c.history[e.run.Workload.Name]
	if !ok {
		return e.run.Workload.RunTime
	}
	took, _ := h.RunTime(e.run.Workload.RunTime)
	return took
}
