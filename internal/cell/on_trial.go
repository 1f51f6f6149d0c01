package cell

import "time"

// placesOnTrial reports whether a stage's tasks are tried on avoided workers: lasting ones
// are, where no other worker that may run them has room. Their failures use up no attempts,
// and a worker that runs lasting tasks alone never shows a success.
func (c *Cell) placesOnTrial(s *stage, room *room, now time.Time) bool {
	if !s.step.LongRunning || s.step.Gang || len(room.onTrial) == 0 {
		return false
	}
	for _, w := range room.usable {
		if s.step.Occupied().Fits(w.free()) && c.mayRunNear(s, w) && w.openTo(s.job) && c.leftFor(s, w, now) {
			return false
		}
	}
	return !c.mayWakeFor(s, now)
}

// mayWakeFor reports whether parked workers may run a stage, or are coming.
func (c *Cell) mayWakeFor(s *stage, now time.Time) bool {
	if c.settings.SpareWorkers == 0 {
		return false
	}
	for _, w := range c.workers {
		if (w.mayWake() || w.coming(now)) && c.mayRunNear(s, w) {
			return true
		}
	}
	return false
}

// advised returns those of some workers for which the stage needs no ticket or has a valid
// one.
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
