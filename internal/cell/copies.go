package cell

import (
	"slices"
	"time"
)

const (
	// mostCopies bounds the runs of one task that exist at the same time.
	mostCopies = 2
	// copyLeast is the least time a run must have been going before it is judged
	// whether a copy pays: two looks at a short task.
	copyLeast = 600 * time.Millisecond
	// copyFactor is how many times longer than a copy a run has to need, and
	// copyMargin how much longer besides, for orders and the estimate's error.
	copyFactor = 1.5
	copyMargin = 300 * time.Millisecond
)

// copyIfDoubtful has another run of a task placed while one is doubtful, where the task
// may run twice. Whichever ends first counts, and the other one is stopped. Others have to
// wait for a stop or the end of a lease.
func (c *Cell) copyIfDoubtful(a *attempt, now time.Time) {
	t := a.task
	s := t.stage
	if !c.uses(SpeculativeRuns) || !s.step.AllowDuplicates || s.step.Gang || t.done || s.job.final != "" || len(t.attempts) >= mostCopies {
		return
	}
	if t.crashes.losses() > 1 {
		// The copy would be lost like the others.
		return
	}
	if !a.doubtful(now) || !s.addIdle(t.index) {
		return
	}
	c.stats.SpeculativeRuns++
	c.log.WithFields(attemptFields(a)).WithField("phase", a.phase).Info("run_copied")
	c.wake(s)
}

// copyPays reports whether a copy of a run would end well before it. A copy costs room
// alone, so it pays sooner than a move: the stop of a short task takes as long as the
// task.
func (c *Cell) copyPays(a *attempt) bool {
	if a.changedAt.Sub(a.confirmedAt) < copyLeast || a.percent <= 0 {
		return false
	}
	return a.projectedLeft() > time.Duration(copyFactor*float64(c.freshDuration(a)))+copyMargin
}

// doubtful reports whether a run may not end, or much later than elsewhere.
func (a *attempt) doubtful(now time.Time) bool {
	return a.phase == stopping || a.slow || a.worker.silent(now)
}

// mayTake reports whether a worker may get a run of a task: never one beside another
// run of the same task.
func (t *task) mayTake(w *worker) bool {
	return !slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.worker == w })
}
