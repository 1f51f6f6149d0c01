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
// the job has waited for preemptAfter. It skips stages that are already late by more than the
// whole time from the job's acceptance to its objective.
func (c *Cell) preempt(s *stage, view *planView, now time.Time) {
	if !c.enabled(Preemption) || s.job.record.Priority > 0 || s.step.Gang || c.startable(s) <= s.preempting || s.job.age(now) < preemptAfter {
		return
	}
	if allowance := s.job.objective(s, &c.durations).Sub(s.job.record.AcceptedAt); s.latestStart(&c.durations).Add(allowance).Before(now) {
		return
	}
	if now.Sub(s.victimsSearchedAt) < preemptInterval {
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
			victim.preemptedFor = s
			s.preempting++
			wanted--
			c.stats.Preemptions++
			c.stop(victim, "preempted", now)
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
		if a.phase != running || !step.Checkpoint || step.Gang || step.LongRunning {
			continue
		}
		if a.task.stage.job.record.Priority <= s.job.record.Priority || c.expectedRemaining(a, now) < c.settings.StopGrace {
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
