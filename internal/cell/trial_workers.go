package cell

import "time"

// usesTrialWorkers reports whether a stage's tasks may be tried on avoided workers. That
// applies to long-running tasks if no other worker that may run them has free capacity. Their
// failures use up no attempts, and a worker that runs only long-running tasks never shows a
// success.
func (c *Cell) usesTrialWorkers(s *stage, view *planView, now time.Time) bool {
	if !s.step.LongRunning || s.step.Gang || len(view.trialWorkers) == 0 {
		return false
	}
	for _, w := range view.usable {
		if s.step.Occupied().Fits(w.free()) && c.mayRunWhenFree(s, w) && w.acceptsJob(s.job) && c.allowedByReservation(s, w, now) {
			return false
		}
	}
	return !c.canUnparkFor(s, now)
}

// canUnparkFor reports whether parked workers may run a stage, or are being unparked.
func (c *Cell) canUnparkFor(s *stage, now time.Time) bool {
	if c.settings.SpareWorkers == 0 {
		return false
	}
	for _, w := range c.workers {
		if (w.canUnpark() || w.unparking(now)) && c.mayRunWhenFree(s, w) {
			return true
		}
	}
	return false
}

// advised returns the workers for which the stage needs no ticket or holds a valid one.
func (s *stage) advised(workers []*worker, now time.Time) []*worker {
	if s.job.record.Advice == nil {
		return workers
	}
	var list []*worker
	for _, w := range workers {
		if s.advice.allows(w, now) {
			list = append(list, w)
		}
	}
	return list
}
