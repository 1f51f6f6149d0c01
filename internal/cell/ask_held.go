package cell

import (
	"slices"
	"time"
)

// askHeldBack requests tickets for a stage that is held back. Tickets are valid for a few seconds,
// so the call starts only if its answer is due when the recovery ends. The recovery often ends
// earlier. For a long-running task that has ended, tickets are therefore held all the time: its
// users are affected, and such tasks are few.
func (c *Cell) askHeldBack(s *stage, view *planView, now time.Time) {
	cost := s.job.record.Advice
	if cost == nil {
		return
	}
	early := now.Add(cost.Duration(typicalCallSize)).Before(view.recoveryDeadline)
	if early && (!s.hasEndedLongRunning() || len(c.fitting(s, view, now)) > 0) {
		return
	}
	if s.job.final != "" || s.backsOff(now) || c.startable(s) == 0 {
		return
	}
	c.askAdvice(s, view, now)
}

// hasEndedLongRunning reports whether this owner has learned of the end of a long-running task that
// has no run now. A previous owner may have started it again.
func (s *stage) hasEndedLongRunning() bool {
	return s.step.LongRunning && slices.ContainsFunc(s.idle, func(index int) bool { return s.tasks[index].ended })
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
