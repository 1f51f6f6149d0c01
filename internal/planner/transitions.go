package planner

import (
	"time"

	"gentianstand/internal/estimate"
	"gentianstand/internal/run"
	"gentianstand/internal/spec"
	"gentianstand/internal/worker"
)

// Bounds of the delay between attempts of a task that failed.
const (
	minRetryDelay = time.Second
	maxRetryDelay = time.Minute
)

// retryDelay returns the delay before the next attempt of a task after the
// given number of failures.
func retryDelay(failures int) time.Duration {
	return min(minRetryDelay<<min(failures-1, 10), maxRetryDelay)
}

// attemptEnded handles the end of a recorded attempt.
func (c *Core) attemptEnded(e *entry, index int, status worker.TaskStatus, now time.Time) {
	t := &e.run.Tasks[index]
	t.EndedAt, t.Result, t.Reason = now, status.Result, status.Reason
	c.removeAssignment(e, index)
	switch status.State {
	case worker.Succeeded:
		c.health.RecordSuccess(t.Worker, e.run.Workload.Name)
		c.recordUsage(e, t, status)
		c.finishTask(e, index, run.TaskSucceeded)
	case worker.Failed:
		c.attemptFailed(e, index, now)
	case worker.Refused:
		c.requeue(e, index, now)
	case worker.Stopped:
		c.attemptStopped(e, index, now)
	}
	c.updateRunState(e, now)
}

func (c *Core) recordUsage(e *entry, t *run.Task, status worker.TaskStatus) {
	h, ok := c.history[e.run.Workload.Name]
	if !ok {
		h = &estimate.History{}
		c.history[e.run.Workload.Name] = h
	}
	h.Add(t.EndedAt.Sub(t.StartedAt), status.Used)
}

func (c *Core) attemptFailed(e *entry, index int, now time.Time) {
	t := &e.run.Tasks[index]
	if c.health.RecordFailure(t.Worker, e.run.Workload.Name, now) {
		c.fleetChanged()
		c.event("worker_quarantined", e.run.ID, index, t.Worker, "")
	}
	t.Failures++
	service := e.run.Workload.Kind == spec.Service
	if !service && (t.Failures > e.run.Workload.Retries || !e.run.Workload.Idempotent) {
		c.finishTask(e, index, run.TaskFailed)
		return
	}
	t.NotBefore = now.Add(retryDelay(t.Failures))
	c.requeue(e, index, now)
}

// attemptStopped handles an attempt that was stopped before its work was
// complete.
func (c *Core) attemptStopped(e *entry, index int, now time.Time) {
	if !e.repeatable() && e.run.CancelledBy == "" {
		c.finishTask(e, index, run.TaskUnknown)
		return
	}
	c.requeue(e, index, now)
}

// attemptLost handles an attempt that certainly no longer runs and whose
// outcome is not known. It is retried only if its work may be repeated.
func (c *Core) attemptLost(e *entry, index int, why string, now time.Time) {
	t := &e.run.Tasks[index]
	c.removeAssignment(e, index)
	t.EndedAt, t.Reason = now, why
	c.event("task_vanished", e.run.ID, index, t.Worker, why)
	if !e.repeatable() {
		c.finishTask(e, index, run.TaskUnknown)
	} else {
		c.requeue(e, index, now)
	}
	c.updateRunState(e, now)
}

// requeue makes a task pending again, or cancels it if its run is stopping.
func (c *Core) requeue(e *entry, index int, now time.Time) {
	t := &e.run.Tasks[index]
	t.Stopping, t.Reported, t.StartedAt = false, false, time.Time{}
	if e.run.State == run.Stopping {
		c.finishTask(e, index, run.TaskCancelled)
		return
	}
	t.State = run.TaskPending
	e.pending++
	e.readySince = now
	c.markTaskChanged(e, index)
}

func (c *Core) finishTask(e *entry, index int, state run.TaskState) {
	t := &e.run.Tasks[index]
	if t.State == run.TaskPending {
		e.pending--
	}
	t.State = state
	t.Stopping = false
	c.markTaskChanged(e, index)
	c.event("task_"+string(state), e.run.ID, index, t.Worker, t.Reason)
}

// updateRunState advances the run after a change of one of its tasks.
func (c *Core) updateRunState(e *entry, now time.Time) {
	if e.run.State.Final() {
		return
	}
	if e.run.Workload.Kind == spec.Job {
		c.updateGangState(e, now)
	}
	if e.run.Workload.Kind == spec.Service && e.run.State != run.Stopping {
		return
	}
	for i := range e.run.Tasks {
		if !e.run.Tasks[i].State.Final() {
			return
		}
	}
	c.finishRun(e, now)
}

// updateGangState keeps the tasks of a gang together, because they run all at
// once or not at all. When one task has to restart, the others stop and restart
// with it; when one has failed permanently, the others end.
func (c *Core) updateGangState(e *entry, now time.Time) {
	failed := e.run.Count(run.TaskFailed)+e.run.Count(run.TaskUnknown) > 0
	if failed && e.run.State != run.Stopping {
		e.run.State = run.Stopping
		c.markHeadChanged(e)
	}
	broken := e.run.State == run.Stopping || e.pending > 0
	if !broken {
		return
	}
	for i := range e.run.Tasks {
		t := &e.run.Tasks[i]
		switch {
		case t.State == run.TaskAssigned && !t.Stopping:
			c.stopTask(e, i, worker.Checkpoint)
		case t.State == run.TaskPending && e.run.State == run.Stopping:
			c.finishTask(e, i, run.TaskCancelled)
		case t.State == run.TaskSucceeded && e.run.State != run.Stopping:
			c.requeue(e, i, now)
		}
	}
}

func (c *Core) finishRun(e *entry, now time.Time) {
	r := e.run
	switch {
	case r.Count(run.TaskFailed) > 0:
		r.State, r.Reason = run.Failed, "a task failed"
	case r.Count(run.TaskUnknown) > 0:
		r.State, r.Reason = run.Failed, "a task may have run or not and must not be repeated"
	case r.CancelledBy != "":
		r.State, r.Reason = run.Cancelled, "cancelled by "+r.CancelledBy
	default:
		r.State, r.Reason = run.Succeeded, ""
	}
	r.FinishedAt = now
	delete(c.active, r.ID)
	delete(c.claims, r.ID)
	c.markHeadChanged(e)
	c.event("run_"+string(r.State), r.ID, 0, "", r.Reason)
}

func (c *Core) setRunning(e *entry) {
	if e.run.State == run.Waiting {
		e.run.State = run.Running
		c.markHeadChanged(e)
	}
}
