package cell

import (
	"slices"
	"time"
)

const (
	// maxConcurrentRuns bounds the runs of one task that exist at the same time.
	maxConcurrentRuns = 2
	// speculateMinElapsed is the least time a run must have been going before it is judged
	// whether a copy pays: two looks at a short task.
	speculateMinElapsed = 600 * time.Millisecond
	// speculateFactor is how many times longer than a copy a run has to need, and
	// copyMargin how much longer besides, for orders and the estimate's error.
	speculateFactor = 1.5
	speculateMargin = 300 * time.Millisecond
)

// speculate has another run of a task placed while one is doubtful, where the task
// may run twice. Whichever ends first counts, and the other one is stopped. Others have to
// wait for a stop or the end of a lease.
func (c *Cell) speculate(a *attempt, now time.Time) {
	t := a.task
	s := t.stage
	if !c.enabled(SpeculativeRuns) || !s.step.AllowDuplicates || s.step.Gang || t.done || s.job.final != "" || len(t.attempts) >= maxConcurrentRuns {
		return
	}
	if t.crashes.losses() > 1 {
		// The copy would be lost like the others.
		return
	}
	if !a.uncertain(now) || !s.addIdle(t.index) {
		return
	}
	c.stats.SpeculativeRuns++
	c.log.WithFields(attemptFields(a)).WithField("phase", a.phase).Info("run_copied")
	c.updateWaiting(s)
}

// speculationPays reports whether a copy of a run would end well before it. A copy costs room
// alone, so it pays sooner than a move: the stop of a short task takes as long as the
// task.
func (c *Cell) speculationPays(a *attempt) bool {
	if a.progressedAt.Sub(a.confirmedAt) < speculateMinElapsed || a.percent <= 0 {
		return false
	}
	return a.projectedRemaining() > time.Duration(speculateFactor*float64(c.freshDuration(a)))+speculateMargin
}

// uncertain reports whether a run may not end, or much later than elsewhere.
func (a *attempt) uncertain(now time.Time) bool {
	return a.phase == stopping || a.slow || a.worker.unresponsive(now)
}

// allowsWorker reports whether a worker may get a run of a task: never one beside another
// run of the same task.
func (t *task) allowsWorker(w *worker) bool {
	return !slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.worker == w })
}
