package cell

import (
	"slices"
	"time"
)

const (
	// maxConcurrentRuns bounds the concurrent runs of one task.
	maxConcurrentRuns = 2
	// speculateMinElapsed is how long a run must have progressed before a speculative run is
	// considered: two polls of a short task.
	speculateMinElapsed = 600 * time.Millisecond
	// speculateFactor is how many times longer than a speculative run a run must need, and
	// speculateMargin is an additional margin for the orders and the error of the estimate.
	speculateFactor = 1.5
	speculateMargin = 300 * time.Millisecond
)

// speculate adds a speculative run for a task with an uncertain run, if the task allows
// duplicates. The first run to end counts, and the other is stopped. Tasks that do not allow
// duplicates have to wait for a stop or the expiry of a lease.
func (c *Cell) speculate(a *attempt, now time.Time) {
	t := a.task
	s := t.stage
	if !c.enabled(SpeculativeRuns) || !s.step.AllowDuplicates || s.step.Gang || t.done || s.job.final != "" || len(t.attempts) >= maxConcurrentRuns {
		return
	}
	if t.crashes.losses() > 1 {
		// A speculative run would be lost like the others.
		return
	}
	if !a.uncertain(now) || !s.addIdle(t.index) {
		return
	}
	c.stats.SpeculativeRuns++
	c.log.WithFields(attemptFields(a)).WithField("phase", a.phase).Info("run_copied")
	c.updateWaiting(s)
}

// speculationPays reports whether a speculative run would end well before the given run. It
// costs only capacity and therefore pays sooner than a move: stopping a short task takes as
// long as the task itself.
func (c *Cell) speculationPays(a *attempt, now time.Time) bool {
	if a.progressedAt.Sub(a.confirmedAt) < speculateMinElapsed || a.percent <= 0 {
		return false
	}
	return c.slowerThan(a, func(fresh time.Duration) time.Duration {
		return time.Duration(speculateFactor*float64(fresh)) + speculateMargin
	}, now)
}

// uncertain reports whether a run may never end, or much later than it would elsewhere.
func (a *attempt) uncertain(now time.Time) bool {
	return a.phase == stopping || a.slow || a.worker.unresponsive(now)
}

// allowsWorker reports whether a worker may get a run of a task. It never gets two runs of the
// same task.
func (t *task) allowsWorker(w *worker) bool {
	return !slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.worker == w })
}
