package cell

import (
	"slices"
	"time"
)

// askHeldBack requests tickets for a stage that is held back. Tickets are valid for a few seconds,
// so the call starts only if its answer is due when the recovery ends. The recovery often ends
// earlier. For a long-running task that is known to have ended, tickets are therefore held all the
// time, as its users are affected.
func (c *Cell) askHeldBack(s *stage, view *planView, now time.Time) {
	cost := s.job.record.Advice
	if cost == nil {
		return
	}
	early := now.Add(view.adviceLead(s)).Before(view.recoveryDeadline)
	if early && (!s.hasEndedLongRunning() || len(c.fitting(s, view, now)) > 0) {
		return
	}
	if s.job.final != "" || s.backsOff(now) || c.startable(s) == 0 || c.ticketsOutlastRecovery(s, view) {
		return
	}
	c.askAdvice(s, view, now)
}

// ticketsOutlastRecovery reports whether a stage needs no other tickets when the recovery ends.
func (c *Cell) ticketsOutlastRecovery(s *stage, view *planView) bool {
	capacity := 0.0
	for _, w := range c.allowed(s, view, view.recoveryDeadline) {
		capacity += c.capacityFor(s, w)
	}
	return capacity >= float64(c.startable(s))
}

// adviceLead returns how long before the latest end of the recovery a call for a stage that is held
// back starts. If more long-running stages wait than there are slots, their calls follow one another,
// and the first ones start as early as their tickets outlast the recovery.
func (v *planView) adviceLead(s *stage) time.Duration {
	cost := s.job.record.Advice
	call := cost.Duration(typicalCallSize)
	if !s.step.LongRunning {
		return call
	}
	longest := max(call, call+cost.TicketTTL-2*ticketMargin)
	return min(time.Duration(max(1, v.heldCallsInSeries))*call, longest)
}

// heldCallsInSeries returns how many slow calls follow one another until every long-running stage that
// is held back has a ticket.
func (c *Cell) heldCallsInSeries(stages []*stage, view *planView, now time.Time) int {
	calls := 0
	for _, s := range stages {
		if s.step.LongRunning && s.job.record.Advice != nil && c.heldBack(s) && c.startable(s) > 0 && len(c.fitting(s, view, now)) == 0 {
			calls++
		}
	}
	_, slots := c.adviceCalls.slowPending(view.slots, func(adviceCall) bool { return true })
	return (calls + slots - 1) / max(1, slots)
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
