package cell

import (
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// findOrAdopt returns the accounted attempt of a reported run. An unaccounted run was started
// by a previous owner, or is still running although its end was inferred. It is adopted, and
// stopped unless its task still needs it.
func (c *Cell) findOrAdopt(w *worker, r runner.RunState, now time.Time) *attempt {
	t := c.taskByName(r.Task)
	if t == nil {
		c.stopUnknownRun(w, r)
		return nil
	}
	if a := t.find(w, r.Run); a != nil {
		return a
	}
	if w.reported && r.Run < t.lastRun && t.done {
		return nil
	}
	c.dropSuperseded(t, r.Run, now)
	a := c.adopt(t, w, r.Run, now)
	switch {
	case t.stage.job.final != "":
		c.stop(a, "job_"+string(t.stage.job.final), now)
	case t.done:
		c.stop(a, "task_done", now)
	case len(t.attempts) > 1 && !t.stage.step.AllowDuplicates:
		c.log.WithFields(attemptFields(a)).Warn("second_run_found")
		c.stop(a, "second_run", now)
	}
	return a
}

// adopt accounts for a run that another owner started.
func (c *Cell) adopt(t *task, w *worker, run uint64, now time.Time) *attempt {
	a := &attempt{task: t, run: run, worker: w, phase: running, adopted: true, mayBeStopping: true, orderedAt: now, confirmedAt: now, progressedAt: now, speedPercent: 100}
	t.lastRun = max(t.lastRun, run)
	t.attempts = append(t.attempts, a)
	t.stage.removeIdle(t.index)
	t.stage.noEarlierRuns = false
	w.addAttempt(a)
	c.isolate(a)
	t.stage.job.started = true
	c.updateWaiting(t.stage)
	c.inferPredecessorsDone(t.stage, now)
	return a
}

// stopUnknownRun stops a run whose task belongs to no accepted job.
func (c *Cell) stopUnknownRun(w *worker, r runner.RunState) {
	id, err := job.ParseTaskID(r.Task)
	if err != nil {
		c.log.WithFields(workerFields(w)).WithError(err).Warn("report_with_bad_task_name")
		return
	}
	c.log.WithFields(workerFields(w)).WithField("task", r.Task).Warn("run_of_unknown_job_stopped")
	c.orders = append(c.orders, StopOrder{Worker: w.target, Task: id, Stop: runner.Stop{Task: r.Task, Run: r.Run, Token: c.settings.Term}})
}

// taskByName returns the known task with the given name, or nil.
func (c *Cell) taskByName(name string) *task {
	id, err := job.ParseTaskID(name)
	if err != nil {
		return nil
	}
	return c.taskByID(id)
}

func (c *Cell) taskByID(id job.TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	s := c.stage(j, id.Occurrence, id.Step)
	if s == nil || id.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[id.Index]
}

// recordProgress updates an attempt from the worker's report of the run.
func (c *Cell) recordProgress(a *attempt, r runner.RunState, now time.Time) {
	if a.phase == ordered {
		a.phase = running
	}
	if a.confirmedAt.IsZero() {
		a.confirmedAt = now
		c.speedOfStart(a)
	}
	if a.elapsed(now) > c.settings.StopGrace+expiryMargin {
		// A stop that a previous owner ordered would have ended the run by now.
		a.mayBeStopping = false
	}
	c.recordSurvival(a, now)
	c.recordWorking(a, r.Percent, now)
	a.task.stage.job.started = true
	if r.Percent != a.percent || a.progressedAt.IsZero() {
		a.percent = r.Percent
		a.progressedAt = now
		c.speedOfProgress(a, now)
	}
	a.gauge = r.Gauge
	if r.Checkpoint != "" {
		a.recordCheckpoint(r.Checkpoint, now)
		a.task.saveCheckpoint(r.Checkpoint)
	}
}

// saveCheckpoint keeps a checkpoint for the next run. In a gang, the checkpoint of any member
// is valid for all members.
func (t *task) saveCheckpoint(checkpoint string) {
	if !t.stage.step.Gang {
		t.checkpoint = checkpoint
		return
	}
	for _, member := range t.stage.tasks {
		member.checkpoint = checkpoint
	}
}
