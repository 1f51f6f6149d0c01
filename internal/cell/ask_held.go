package cell

import "time"

// askHeld asks the adviser about a stage that is held back, so late that the answer comes
// when it is not any more: a ticket lasts a few seconds.
func (c *Cell) askHeld(s *stage, room *room, now time.Time) {
	cost := s.job.record.Advice
	if cost == nil || now.Add(cost.Duration(advisedWorkers)).Before(room.recoversBy) {
		return
	}
	if s.job.final != "" || s.pauses(now) || c.startable(s) == 0 {
		return
	}
	c.askAdvice(s, room, now)
}

// recoversBy returns when the recovery is over at the latest.
func (c *Cell) recoversBy() time.Time {
	by := c.began
	for _, w := range c.workers {
		if until := c.unseenUntil(w); w.unheard() && until.After(by) {
			by = until
		}
	}
	return by
}
