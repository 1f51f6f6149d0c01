package planner

import (
	"time"

	"gentianstand/internal/fleet"
	"gentianstand/internal/run"
	"gentianstand/internal/spec"
	"gentianstand/internal/worker"
)

// Report handles an owner's report on a worker. A report with a lower epoch
// than the last one comes from a superseded owner, and one with a lower
// sequence number arrived out of order; both are dropped.
func (c *Core) Report(r fleet.Report, now time.Time) {
	v := c.workerView(r.Worker)
	if r.Epoch < v.report.Epoch || (r.Epoch == v.report.Epoch && r.Sequence < v.report.Sequence) {
		return
	}
	before := v.report
	v.report, v.seen = r, true
	if before.State != r.State || before.Draining != r.Draining || before.Capacity != r.Capacity || before.Boot != r.Boot {
		c.fleetChanged()
		c.event("worker_reported", "", 0, r.Worker, string(r.State))
	}
	reported := make(map[worker.TaskRef]bool, len(r.Tasks))
	c.forgetOrphans(v)
	for _, status := range r.Tasks {
		reported[status.Ref] = true
		c.handleStatus(v, status, now)
	}
	c.handleMissing(v, reported, now)
	if r.Draining {
		c.drainWorker(v)
	}
}

func (c *Core) forgetOrphans(v *workerView) {
	for ref, status := range v.orphans {
		delete(v.orphans, ref)
		c.orphanCounts[taskKey{ref.Run, ref.Index}]--
		if i, ok := c.findNode(v.report.Worker); ok {
			c.cluster.Release(i, status.Workload, status.Need)
		}
	}
}

// handleStatus handles the reported status of one attempt.
func (c *Core) handleStatus(v *workerView, status worker.TaskStatus, now time.Time) {
	key := taskKey{status.Ref.Run, status.Ref.Index}
	e, known := c.active[key.run]
	if !known || key.index >= len(e.run.Tasks) {
		c.handleOrphan(v, status)
		return
	}
	t := &e.run.Tasks[key.index]
	if c.startedInOutage(t, status) {
		c.adoptAttempt(e, key.index, v, status, now)
	}
	if t.Attempt != status.Ref.Attempt || t.State != run.TaskAssigned || t.Worker != v.report.Worker {
		c.handleOrphan(v, status)
		return
	}
	t.Reported = true
	if status.State == worker.Running {
		c.handleRunning(e, key.index, status, now)
		return
	}
	e.acks = append(e.acks, ack{worker: t.Worker, boot: t.Boot, ref: status.Ref})
	c.attemptEnded(e, key.index, status, now)
}

// startedInOutage reports whether a previous planner started the attempt
// without being able to record it. That planner knew that all earlier attempts
// had ended, so a higher attempt number supersedes the attempt in the table.
func (c *Core) startedInOutage(t *run.Task, status worker.TaskStatus) bool {
	return !t.State.Final() && status.Ref.Attempt > t.Attempt && status.State != worker.Refused
}

func (c *Core) adoptAttempt(e *entry, index int, v *workerView, status worker.TaskStatus, now time.Time) {
	t := &e.run.Tasks[index]
	if t.State == run.TaskAssigned {
		c.removeAssignment(e, index)
	} else {
		e.pending--
	}
	t.State, t.Attempt, t.Worker, t.Boot, t.Need = run.TaskAssigned, status.Ref.Attempt, v.report.Worker, v.report.Boot, status.Need
	t.Definition, t.StartedAt = e.run.Definition, now
	c.recordAssignment(e, index)
	if i, ok := c.findNode(t.Worker); ok {
		c.cluster.Allocate(i, e.run.Workload.Name, t.Need)
	}
	c.setRunning(e)
	c.markTaskChanged(e, index)
	c.event("task_adopted", e.run.ID, index, t.Worker, "")
}

// handleOrphan handles an attempt that the planner has not recorded. A running
// one is stopped; the worker may forget an ended one.
func (c *Core) handleOrphan(v *workerView, status worker.TaskStatus) {
	if status.State != worker.Running {
		c.ackOrphan(v, status.Ref)
		return
	}
	v.orphans[status.Ref] = status
	c.orphanCounts[taskKey{status.Ref.Run, status.Ref.Index}]++
	if i, ok := c.findNode(v.report.Worker); ok {
		c.cluster.Allocate(i, status.Workload, status.Need)
	}
	c.outbox.stop(v.report.Worker, v.report.Boot, worker.TaskStop{Ref: status.Ref, Action: worker.Kill})
	c.event("task_stray", status.Ref.Run, status.Ref.Index, v.report.Worker, "")
}

func (c *Core) handleRunning(e *entry, index int, status worker.TaskStatus, now time.Time) {
	t := &e.run.Tasks[index]
	if t.StartedAt.IsZero() {
		t.StartedAt = now
	}
	if !status.Used.Fits(t.Need) {
		c.handleOveruse(e, index, status)
	}
}

// handleMissing handles recorded attempts that a report does not contain:
// either their start has not arrived yet, or they ended with the worker's
// process.
func (c *Core) handleMissing(v *workerView, reported map[worker.TaskRef]bool, now time.Time) {
	for key := range v.tasks {
		e := c.runs[key.run]
		t := &e.run.Tasks[key.index]
		if reported[c.ref(key)] {
			continue
		}
		switch {
		case v.report.State == fleet.Lost:
			c.attemptLost(e, key.index, "the worker was lost", now)
		case v.report.State != fleet.Ready:
		case t.Boot != v.report.Boot:
			c.handleWorkerRestart(e, key.index, now)
		case c.unwritten[key] != t.Attempt:
			c.sendStart(key)
			if t.Stopping {
				c.stopTask(e, key.index, worker.Kill)
			}
		}
	}
}

// ackOrphan lets a worker forget an ended attempt. It does nothing while
// changes of the run are still unwritten, because the worker then holds the
// only record of the attempt.
func (c *Core) ackOrphan(v *workerView, ref worker.TaskRef) {
	if e, ok := c.runs[ref.Run]; ok && (e.dirty() || e.writing) {
		return
	}
	c.outbox.ack(v.report.Worker, v.report.Boot, ref)
}

// drainWorker stops the tasks on a draining worker that can be moved. Tasks
// that must not be repeated are left to finish.
func (c *Core) drainWorker(v *workerView) {
	for key := range v.tasks {
		e := c.runs[key.run]
		if e.run.Tasks[key.index].Stopping {
			continue
		}
		switch {
		case e.run.Workload.Kind == spec.Service:
			c.stopTask(e, key.index, worker.Drain)
		case e.run.Workload.Idempotent:
			c.stopTask(e, key.index, worker.Checkpoint)
		}
	}
}
