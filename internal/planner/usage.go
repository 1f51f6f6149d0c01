package planner

import (
	"time"

	"gentianstand/internal/estimate"
	"gentianstand/internal/spec"
	"gentianstand/internal/worker"
)

// handleOveruse handles a task that uses more than it was given. CPU overuse is
// throttled. Memory overuse cannot be: a batch task that may be repeated is
// checkpointed and restarted with its actual size, on another worker if
// necessary; any other task is throttled and left running. The worker is not
// overcommitted in either case, because nothing else is placed on capacity
// beyond what the task was given.
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

// recordPeak records usage above the declared amount with full confidence, so
// that the next attempt gets it.
func (c *Core) recordPeak(e *entry, status worker.TaskStatus) {
	h, ok := c.history[e.run.Workload.Name]
	if !ok {
		h = &estimate.History{}
		c.history[e.run.Workload.Name] = h
	}
	h.RecordOveruse(status.Used)
}

// endsBefore reports whether a task of the run can be expected to end before
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

// expectedRunTime returns the run time of a task corrected by its history, or 0
// if unknown.
func (c *Core) expectedRunTime(e *entry) time.Duration {
	h, ok := c.history[e.run.Workload.Name]
	if !ok {
		return e.run.Workload.RunTime
	}
	took, _ := h.RunTime(e.run.Workload.RunTime)
	return took
}
