package cell

import "time"

const (
	// preemptAfter is how long a stage of the most urgent queue waits for a run to end before
	// other runs are stopped for it.
	preemptAfter = 60 * time.Millisecond
	// preemptInterval is the least time between two searches for victims for one stage. Each
	// search scans the runs of all workers that the stage may use.
	preemptInterval = 30 * time.Millisecond
)

// preempt stops less urgent runs for the idle tasks of a stage of the most urgent queue, if
// the job has waited for preemptAfter.
func (c *Cell) preempt(s *stage, view *planView, now time.Time) {
	if !c.enabled(Preemption) || s.job.record.Priority > 0 || s.step.Gang {
		return
	}
	// A long-running task is never late: it serves its users from its start.
	if c.enabled(PreemptionBudget) && !s.step.LongRunning {
		c.preemptWithinBudget(s, view, now)
		return
	}
	c.preemptAnyway(s, view, now)
}

// preemptAnyway stops runs whatever that costs. It skips stages that are already late by more than
// the whole time from the job's acceptance to its objective.
func (c *Cell) preemptAnyway(s *stage, view *planView, now time.Time) {
	if c.startable(s) <= s.preempting || s.job.age(now) < preemptAfter || now.Sub(s.victimsSearchedAt) < preemptInterval {
		return
	}
	if allowance := s.job.objective(s, &c.durations).Sub(s.job.record.AcceptedAt); s.latestStart(&c.durations).Add(allowance).Before(now) {
		return
	}
	s.victimsSearchedAt = now
	wanted := c.startable(s) - s.preempting
	// The tickets must outlast a stop.
	for _, w := range c.allowed(s, view, now.Add(c.settings.StopGrace)) {
		if wanted == 0 {
			return
		}
		if !w.acceptsJob(s.job) || !c.eligible(s, w) {
			continue
		}
		if victim := c.victim(s, w, now); victim != nil {
			c.stopFor(s, victim, 1, now)
			wanted--
		}
	}
}

// victim returns the run on a worker whose stop frees capacity for a task of the stage at
// the lowest cost. Only runs that can resume from a checkpoint are considered.
func (c *Cell) victim(s *stage, w *worker, now time.Time) *attempt {
	need := s.step.Occupied()
	var best *attempt
	for a := range w.attempts {
		step := a.task.stage.step
		if !c.preemptible(a, now) || a.task.stage.job.record.Priority <= s.job.record.Priority {
			continue
		}
		if !need.Fits(w.free().Add(step.Occupied())) {
			continue
		}
		if best == nil || step.Need.MilliCPU < best.task.stage.step.Need.MilliCPU {
			best = a
		}
	}
	return best
}

// preemptible reports whether a run may be stopped for the most urgent queue: it is less urgent, can
// resume from a checkpoint, and would not end by itself as soon.
func (c *Cell) preemptible(a *attempt, now time.Time) bool {
	step := a.task.stage.step
	if a.phase != running || !step.Checkpoint || step.Gang || step.LongRunning {
		return false
	}
	return a.task.stage.job.record.Priority > 0 && c.expectedRemaining(a, now) >= c.settings.StopGrace
}

// stopFor stops a run so that tasks of a stage can start.
func (c *Cell) stopFor(s *stage, victim *attempt, tasks int, now time.Time) {
	victim.preemptedFor, victim.freedTasks = s, tasks
	victim.task.preempted = true
	s.preempting += tasks
	c.stats.Preemptions++
	c.stop(victim, "preempted", now)
}
