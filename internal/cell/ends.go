package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
	"gentianstand/internal/workerspeed"
)

// recordEnd handles a run end that a worker lists. It returns false if the end must wait
// because its job is not loaded yet.
func (c *Cell) recordEnd(w *worker, e runner.End, now time.Time) bool {
	if !c.knowsJob(e.Task) {
		return false
	}
	t := c.taskByName(e.Task)
	if t == nil {
		c.log.WithFields(workerFields(w)).WithField("task", e.Task).Warn("end_of_unknown_task")
		return true
	}
	c.inferPredecessorsDone(t.stage, now)
	a := t.find(w, e.Run)
	t.ended = true
	if e.Checkpoint != "" {
		t.saveCheckpoint(e.Checkpoint)
		if a != nil {
			t.checkpointPercent = max(t.checkpointPercent, a.percent)
		}
	}
	t.lastRun = max(t.lastRun, e.Run)
	w.addUnstoredEnd(unstoredEnd{sequence: e.Sequence, task: t, run: e.Run})
	if e.Kind != runner.Done && e.Kind != runner.Stopped {
		c.log.WithFields(logrus.Fields{"task": e.Task, "run": e.Run, "worker": w.ID, "how": e.Kind, "failures": t.failures()}).Info("run_ended")
	}
	switch e.Kind {
	case runner.Done:
		c.runDone(t, a, w, now)
	case runner.Failed:
		c.clearCrashes(t)
		c.taskFailed(t, w, e.Run, now)
	}
	c.dirtyJobs[t.stage.job] = struct{}{}
	if a != nil {
		c.drop(a, string(e.Kind), now)
	}
	if e.Kind != runner.Done && t.stage.step.Gang {
		c.breakGang(t.stage, now)
	}
	c.completeIfDone(t.stage.job, now)
	return true
}

// runDone handles the successful end of a run; a is nil if the run is not accounted. A
// long-running task has to run again however its run ends.
func (c *Cell) runDone(t *task, a *attempt, w *worker, now time.Time) {
	c.clearCrashes(t)
	if a != nil {
		c.recordLongest(a, now)
		if c.outlastedPreviousOwner(a) {
			t.stage.markSuccessorsFresh()
		}
		c.recordDuration(a, now)
	}
	if a == nil || !a.blamed {
		w.health.succeeded()
	}
	if !t.stage.step.LongRunning {
		c.taskDone(t, w, now)
		c.logSuccessors(t.stage, a)
	}
}

// recordDuration records a run's duration, if the run was seen from its start and did not
// resume from a checkpoint.
func (c *Cell) recordDuration(a *attempt, now time.Time) {
	step := a.task.stage.step
	if a.fromScratch && !step.LongRunning && !step.Gang && !step.BestEffort {
		if took := a.elapsed(now); took > slowWorkerFactor*c.excusedDuration(a, took) {
			c.blameWorker(a, now)
		}
		c.speedOfEnd(a, now)
		typical := time.Duration(float64(now.Sub(a.orderedAt)) / c.speedFactor(a.worker))
		c.durations.add(a.task.stage.job.record.Queue, typical)
	}
}

// markSuccessorsFresh marks the stages after s as not started by any previous owner. A stage with a
// run of another owner was started, whatever is known of s.
func (s *stage) markSuccessorsFresh() {
	for _, next := range s.successors() {
		next.noEarlierRuns = next.noEarlierRuns || !next.hasAdoptedRuns()
	}
}

// logSuccessors logs, during a recovery, whether the stages after a completed one are held back, and
// how its last run was known. That run is nil if it was not accounted for.
func (c *Cell) logSuccessors(s *stage, last *attempt) {
	if !c.recovering || !s.job.inherited || !s.isDone() {
		return
	}
	for _, next := range s.successors() {
		fields := logrus.Fields{"stage": next.id.String(), "held_back": c.heldBack(next), "previous_owner_fenced": c.previousOwnerFenced}
		if last != nil {
			fields["run_known_from"] = last.source()
		}
		if last != nil && !last.lastSeenAt().IsZero() {
			fields["run_seen_ms"] = last.lastSeenAt().Sub(c.startedAt).Milliseconds()
		}
		c.log.WithFields(fields).Info("next_stage_after_takeover")
	}
}

// taskDone handles a success on a worker, which is nil if it is not known. In a gang, the end of one
// member counts for all.
func (c *Cell) taskDone(t *task, w *worker, now time.Time) {
	members := []*task{t}
	if t.stage.step.Gang {
		members = t.stage.tasks
	}
	for _, m := range members {
		if m.done {
			continue
		}
		m.done = true
		c.stats.Done++
		t.stage.done++
		t.stage.removeIdle(m.index)
	}
	if !t.stage.step.Gang {
		for _, other := range t.attempts {
			if other.worker != w {
				c.stop(other, "copy_done", now)
			}
		}
	}
	c.updateWaiting(t.stage)
	if t.stage.isDone() {
		t.stage.doneAt = now
		t.stage.speedSiblings = workerspeed.Siblings{}
		for _, s := range t.stage.siblings {
			c.updateWaiting(s)
		}
	}
}

// taskFailed counts a failed run once and fails the job when its attempts are used up.
// Long-running tasks may fail any number of times.
func (c *Cell) taskFailed(t *task, w *worker, run uint64, now time.Time) {
	if t.done {
		// A speculative run of the task succeeded.
		return
	}
	counted := t
	if t.stage.step.Gang {
		// A gang fails as a whole, whichever member lists the failure.
		counted = t.stage.tasks[0]
	}
	if !counted.countFailure(run) {
		return
	}
	c.stats.Failed++
	if a := t.find(w, run); a != nil && a.provesWorkerHealthy(now) {
		w.health.succeeded()
	} else {
		c.recordFailure(w, t.stage.id.Job, now)
	}
	t.failedOn = append(t.failedOn, w.ID)
	t.trimFailures()
	counted.trimFailures()
	j := t.stage.job
	if j.final == "" && !t.stage.step.LongRunning && counted.failures() >= max(1, j.record.MaxAttempts) {
		c.log.WithFields(logrus.Fields{"job": j.record.ID, "task": t.id().String(), "failures": counted.failures()}).Info("job_out_of_attempts")
		c.endJob(j, job.Failed, now)
	}
}

// breakGang stops the remaining members of a gang after one has ended, so that all can restart
// together.
func (c *Cell) breakGang(s *stage, now time.Time) {
	if s.isDone() {
		return
	}
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			c.stop(a, "gang_broken", now)
		}
	}
}

// completeIfDone completes a job whose stages are all done.
func (c *Cell) completeIfDone(j *jobState, now time.Time) {
	if j.final == "" && j.allDone() {
		c.endJob(j, job.Completed, now)
	}
}

// drop removes a run from the accounting, as it is certain to have ended.
func (c *Cell) drop(a *attempt, reason string, now time.Time) {
	t := a.task
	a.speed.Dropped()
	for i, other := range t.attempts {
		if other == a {
			t.attempts = append(t.attempts[:i], t.attempts[i+1:]...)
			break
		}
	}
	t.ended = true
	c.recordStopTime(a, now)
	a.worker.removeAttempt(a)
	delete(c.isolatedRuns, a)
	if a.worker.cordoned {
		// The store lists the run.
		c.dirtyChunks.mark(a.worker.ID)
	}
	if a.preemptedFor != nil {
		a.preemptedFor.preempting -= a.freedTasks
		a.preemptedFor = nil
	}
	if !t.done && len(t.attempts) == 0 {
		t.stage.addIdle(t.index)
	}
	if t.stage.step.Gang && !t.done {
		c.breakGang(t.stage, now)
	}
	c.updateWaiting(t.stage)
	c.log.WithFields(attemptFields(a)).WithField("why", reason).Debug("run_over")
}

// stop orders the end of a run, unless it is already stopping.
func (c *Cell) stop(a *attempt, reason string, now time.Time) {
	if a.phase == stopping {
		return
	}
	a.phase = stopping
	a.firstStopAt = now
	c.stats.Stops++
	c.log.WithFields(attemptFields(a)).WithField("why", reason).Debug("run_stopped")
	c.sendStop(a, now)
}

func (c *Cell) sendStop(a *attempt, now time.Time) {
	a.stopSentAt = now
	c.orders = append(c.orders, StopOrder{Worker: a.worker.target, Task: a.task.id(),
		Stop: runner.Stop{Task: a.task.id().String(), Run: a.run, Token: c.settings.Term}})
}
