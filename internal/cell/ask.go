package cell

import (
	"slices"
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/job"
)

const (
	// typicalCallSize is the usual number of workers in one adviser call. The platform uses
	// the duration of such a call when it computes the ideal duration of a stage.
	typicalCallSize = 30
	// maxAskedWorkers bounds the workers in one call. The adviser accepts at most 100.
	maxAskedWorkers = 60
	// minAskedWorkers is the least size of a first call. About a third of the workers are
	// allowed, so a smaller call often returns no ticket at all. The least size doubles with
	// each call for a long-running task that returned no usable ticket.
	minAskedWorkers = 8
	// assumedAllowedShare is the assumed share of workers that the adviser allows for a stage.
	// Too low a value costs a few more workers in a call; too high a value costs a second
	// call.
	assumedAllowedShare = 0.3
	// ticketOversupply is the factor by which the capacity of ticketed workers should exceed a
	// stage's idle tasks. Other stages take part of that capacity while the call is pending.
	ticketOversupply = 2.0
	// adviceRetryDelay is the delay after a failed call.
	adviceRetryDelay = 150 * time.Millisecond
)

// askAdvice requests tickets for the stage's idle tasks. As far as the adviser has free slots,
// the first stages in order also hold tickets for full workers and renew them before they
// expire. Without them, capacity that becomes free would be taken by others before the adviser
// answers.
func (c *Cell) askAdvice(s *stage, view *planView, now time.Time) {
	if !c.mayAsk(s, view, now) {
		return
	}
	if view.dividesCallsOf(s) && !c.heldBack(s) {
		c.askWithinBudget(s, view, now)
		return
	}
	workers := c.workersToAsk(s, view, now)
	if len(workers) == 0 {
		return
	}
	prefetch := !c.anyHasCapacityByID(s, workers)
	if prefetch && isSlowCall(s.job.record.Advice) && !c.adviceCalls.mayPrefetch(view.slots) {
		return
	}
	c.ask(s, workers, prefetch, view, now)
}

// askForLongRunning requests tickets for long-running tasks before all other calls, with all slots for
// tasks that have been down for some time, else with all but one. Otherwise other calls could hold all
// slots for as long as new work arrives, while the users of a long-running task are affected as soon as
// it is down.
func (c *Cell) askForLongRunning(stages []*stage, view *planView, now time.Time) {
	for _, s := range stages {
		if s.step.LongRunning && c.checkDue(s, now) {
			c.askIfCapacityFree(s, view, now)
		}
	}
}

// askIfCapacityFree requests tickets for a stage if workers have free capacity for it, now or
// once the stage is no longer held back.
func (c *Cell) askIfCapacityFree(s *stage, view *planView, now time.Time) {
	cost := s.job.record.Advice
	if cost == nil || isSlowCall(cost) && !c.adviceCalls.mayAskLongRunning(view.slots, c.takesPrecedence(s, view, now)) {
		return
	}
	switch {
	case c.heldBack(s):
		c.askHeldBack(s, view, now)
		return
	case !s.step.Occupied().Fits(view.maxFree) || !c.mayPlace(s, now) || len(c.fitting(s, view, now)) > 0:
		return
	case !c.mayAsk(s, view, now) && !c.mayUseQuick(s, view, now):
		return
	}
	if workers := c.workersToAsk(s, view, now); c.anyHasCapacityByID(s, workers) {
		c.ask(s, workers, false, view, now)
	}
}

// takesPrecedence reports whether a call for a long-running stage may use every slot: a task has been
// down for long, and can be started as soon as the call is answered.
func (c *Cell) takesPrecedence(s *stage, view *planView, now time.Time) bool {
	if !c.hasTaskDownFor(s, allSlowSlotsAfter, now) {
		return false
	}
	return !c.heldBack(s) || !now.Add(view.adviceLead(s)).Before(view.recoveryDeadline)
}

// mayAsk reports whether an adviser call for a stage may start now.
func (c *Cell) mayAsk(s *stage, view *planView, now time.Time) bool {
	cost := s.job.record.Advice
	return cost != nil && !s.advice.waits(now) && view.slots.available(isSlowCall(cost))
}

// mayUseQuick reports whether a call for a long-running stage may start now in an IdleQuick slot.
func (c *Cell) mayUseQuick(s *stage, view *planView, now time.Time) bool {
	return !s.advice.waits(now) && view.slots.onlyIdleQuick() && c.hasTaskDownFor(s, quickSlotsAfter, now)
}

// ask starts an adviser call for a stage.
func (c *Cell) ask(s *stage, workers []string, prefetch bool, view *planView, now time.Time) {
	cost := s.job.record.Advice
	slow := isSlowCall(cost)
	quick := slow && view.slots.onlyIdleQuick()
	view.slots.acquire(slow)
	s.advice.pending = true
	c.adviceCalls[s.id] = adviceCall{prefetch: prefetch, slow: slow, longRunning: s.step.LongRunning, workers: c.workersByID(workers), askedAt: now}
	c.stats.AdviceCalls++
	c.orders = append(c.orders, AdviceOrder{Stage: s.id, Term: c.settings.Term, Cost: *cost, Workers: workers, Slow: slow, MayUseQuick: quick})
}

func (c *Cell) workersByID(ids []string) []*worker {
	list := make([]*worker, len(ids))
	for i, id := range ids {
		list[i] = c.workers[id]
	}
	return list
}

// anyHasCapacityByID reports whether any of the given workers has free capacity for a task of
// the stage.
func (c *Cell) anyHasCapacityByID(s *stage, ids []string) bool {
	return slices.ContainsFunc(ids, func(id string) bool { return c.capacityFor(s, c.workers[id]) > 0 })
}

// workersToAsk returns the workers for the next adviser call, or none if the stage holds
// enough tickets. Allowed workers whose tickets expire before an answer could arrive come
// first, then workers without a verdict; those with most free capacity lead in each group. If
// only workers without a verdict have free capacity, no tickets are renewed.
func (c *Cell) workersToAsk(s *stage, view *planView, now time.Time) []string {
	var renew, unknown []*worker
	ticketed := 0.0
	answer := now.Add(s.job.record.Advice.Duration(typicalCallSize))
	workers := view.usable
	if c.usesTrialWorkers(s, view, now) {
		workers = append(slices.Clip(workers), view.trialWorkers...)
	}
	for _, w := range workers {
		if !c.fitsWhenIdle(s, w) || !c.enabled(TicketsAhead) && c.capacityFor(s, w) == 0 {
			continue
		}
		v, known := s.advice.verdictFor(w)
		switch {
		case !known:
			unknown = append(unknown, w)
		case v.approved && answer.After(v.expiresAt):
			renew = append(renew, w)
		case v.approved:
			ticketed += c.capacityFor(s, w)
		}
	}
	wanted := ticketOversupply*float64(c.startable(s)+s.expiring) - ticketed
	if wanted <= 0 {
		return nil
	}
	renew = c.topAskCandidates(renew, s)
	unknown = c.topAskCandidates(unknown, s)
	least := s.advice.leastAsked()
	if c.anyHasCapacity(s, unknown) && !c.anyHasCapacity(s, renew) {
		// Tickets for many full workers expire as fast as they are renewed.
		renew = nil
	}
	var ids []string
	for _, w := range renew {
		if len(ids) == maxAskedWorkers || wanted <= 0 {
			return ids
		}
		ids = append(ids, w.ID)
		wanted -= c.capacityFor(s, w)
	}
	for _, w := range unknown {
		if len(ids) == maxAskedWorkers || (wanted <= 0 && len(ids) >= least) {
			return ids
		}
		ids = append(ids, w.ID)
		wanted -= c.capacityFor(s, w) * assumedAllowedShare
	}
	return ids
}

// anyHasCapacity reports whether any of the given workers has free capacity for a task of the
// stage.
func (c *Cell) anyHasCapacity(s *stage, workers []*worker) bool {
	return slices.ContainsFunc(workers, func(w *worker) bool { return c.capacityFor(s, w) > 0 })
}

// capacityFor returns how many tasks of a stage fit into a worker's free capacity.
func (c *Cell) capacityFor(s *stage, w *worker) float64 {
	n := s.step.Occupied().CountIn(w.free(), int64(len(s.idle)+s.expiring))
	if s.step.MaxPerWorker > 0 {
		n = min(n, int64(s.step.MaxPerWorker-s.runsPerWorker[w]))
	}
	return float64(n)
}

// AdviceAnswered handles the result of an adviser call for a stage.
func (c *Cell) AdviceAnswered(stage job.StageID, asked []string, tickets []advice.Ticket, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.adviceCalls[stage]
	delete(c.adviceCalls, stage)
	j := c.jobs[stage.Job]
	if j == nil {
		return
	}
	s := j.existingStage(stage.Occurrence, stage.Step)
	if s == nil {
		// The job ended long ago and was compacted, or its occurrence was released.
		return
	}
	s.advice.pending = false
	if err != nil {
		s.advice.retryAt = now.Add(adviceRetryDelay)
		c.log.WithField("stage", stage.String()).WithError(err).Info("advice_failed")
		return
	}
	c.learnFromAnswer(s, call, tickets, now)
	until := now.Add(j.record.Advice.TicketTTL - ticketMargin)
	// Verdicts on a previous incarnation do not apply to a worker that has restarted since.
	for _, id := range asked {
		if w := c.workers[id]; w != nil && !w.knownSince.After(call.askedAt) {
			c.countReplaced(s.advice.verdicts[w])
			s.advice.verdicts[w] = verdict{incarnation: w.incarnationState}
		}
	}
	var allowed []*worker
	for _, t := range tickets {
		if w := c.workers[t.Worker]; w != nil && !w.knownSince.After(call.askedAt) {
			s.advice.verdicts[w] = verdict{incarnation: w.incarnationState, approved: true, ticket: t.Text, expiresAt: until}
			allowed = append(allowed, w)
		}
	}
	c.countIssued(s, allowed, until, now)
	if s.step.LongRunning && !call.prefetch {
		s.advice.countUnusable(slices.ContainsFunc(tickets, func(t advice.Ticket) bool {
			w := c.workers[t.Worker]
			return w != nil && c.eligible(s, w) && s.step.Occupied().Fits(w.free())
		}))
	}
}
