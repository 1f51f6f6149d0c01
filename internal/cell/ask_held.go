package cell

import "time"

// askHeldBack asks the adviser about a stage that is held back, so late that the answer comes
// when it is not any more: a ticket lasts a few seconds.
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

// recoveryDeadline returns when the recovery is over at the latest.
func (c *Cell) recoveryDeadline() time.Time {
	by := c.startedAt
	for _, w := range c.workers {
		if until := c.earlierRunsUntil(w); w.mayHaveEarlierRuns() && until.After(by) {
			by = until
		}
	}
	return by
}
