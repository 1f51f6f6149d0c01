package cell

import "time"

// askHeldBack requests tickets for a stage that is held back. Tickets are valid for a few seconds,
// so the call starts only if its answer is due when the recovery ends.
func (c *Cell) askHeldBack(s *stage, view *planView, now time.Time) {
	cost := s.job.record.Advice
	if cost == nil || now.Add(cost.Duration(typicalCallSize)).Before(view.recoveryDeadline) {
		return
	}
	if s.job.final != "" || s.backsOff(now) || c.startable(s) == 0 {
		return
	}
	c.askAdvice(s, view, now)
}

// recoveryDeadline returns the latest time at which the recovery ends.
func (c *Cell) recoveryDeadline() time.Time {
	by := c.startedAt
	for _, w := range c.workers {
		if until := c.earlierRunsUntil(w); w.mayHaveEarlierRuns() && until.After(by) {
			by = until
		}
	}
	return by
}
