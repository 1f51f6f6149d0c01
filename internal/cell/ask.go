package cell

import (
	"slices"
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/job"
)

const (
	// typicalCallSize is the size of a usual call for advice, which the platform
	// counts into the ideal duration of a stage.
	typicalCallSize = 30
	// maxAskedWorkers bounds one question; the adviser takes at most 100 workers.
	maxAskedWorkers = 60
	// minAskedWorkers is the smallest first question: with about a third of the
	// workers allowed, fewer often bring no ticket at all.
	minAskedWorkers = 8
	// assumedAllowedShare is the assumed share of workers that may run a stage. A guess that is
	// too low costs a few more workers in a question, one that is too high a second question.
	assumedAllowedShare = 0.3
	// ticketOversupply is for how many times its idle tasks a stage wants room with
	// tickets: others take some of the room while the question is under way.
	ticketOversupply = 2.0
	// adviceRetryDelay is the pause after a call that failed.
	adviceRetryDelay = 150 * time.Millisecond
)

// askAdvice asks about workers for the stage's idle tasks. The stages that are first in
// order keep tickets for full workers, too, and renew them before they expire, as many as
// the adviser can serve: room that opens would be taken before an answer comes.
func (c *Cell) askAdvice(s *stage, view *planView, now time.Time) {
	if !c.mayAsk(s, view, now) {
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

// askForLongRunning asks about workers for lasting tasks ahead of all other questions, through
// all lanes but one. Others could take all lanes for as long as new work comes, and the users
// of a lasting task miss it from the moment that it is away.
func (c *Cell) askForLongRunning(stages []*stage, view *planView, now time.Time) {
	for _, s := range stages {
		if s.step.LongRunning && c.checkDue(s, now) {
			c.askIfCapacityFree(s, view, now)
		}
	}
}

// askIfCapacityFree asks about a stage for which workers have room, or will when it is not held
// back any more.
func (c *Cell) askIfCapacityFree(s *stage, view *planView, now time.Time) {
	cost := s.job.record.Advice
	if cost == nil || isSlowCall(cost) && !c.adviceCalls.mayAskLongRunning(view.slots) {
		return
	}
	switch {
	case c.heldBack(s):
		c.askHeldBack(s, view, now)
		return
	case !s.step.Occupied().Fits(view.maxFree) || !c.mayPlace(s, now) || !c.mayAsk(s, view, now) || len(c.fitting(s, view, now)) > 0:
		return
	}
	if workers := c.workersToAsk(s, view, now); c.anyHasCapacityByID(s, workers) {
		c.ask(s, workers, false, view, now)
	}
}

// mayAsk reports whether a question about a stage may begin now.
func (c *Cell) mayAsk(s *stage, view *planView, now time.Time) bool {
	cost := s.job.record.Advice
	return cost != nil && !s.advice.pending && !now.Before(s.advice.retryAt) && view.slots.available(isSlowCall(cost))
}

// ask begins a question about a stage.
func (c *Cell) ask(s *stage, workers []string, prefetch bool, view *planView, now time.Time) {
	cost := s.job.record.Advice
	slow := isSlowCall(cost)
	view.slots.acquire(slow)
	s.advice.pending = true
	c.adviceCalls[s.id] = adviceCall{prefetch: prefetch, slow: slow, longRunning: s.step.LongRunning, askedAt: now}
	c.stats.AdviceCalls++
	c.orders = append(c.orders, AdviceOrder{Stage: s.id, Term: c.settings.Term, Cost: *cost, Workers: workers, Slow: slow})
}

// anyHasCapacityByID reports whether one of some workers has room for a task of the stage now.
func (c *Cell) anyHasCapacityByID(s *stage, ids []string) bool {
	return slices.ContainsFunc(ids, func(id string) bool { return c.capacityFor(s, c.workers[id]) > 0 })
}

// workersToAsk returns the workers to ask about, or none if the tickets at hand
// will do: allowed workers whose tickets end before an answer would come, then
// unknown ones, those with most room first. If only unknown ones have room, they are asked
// about alone.
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
		case v.good && answer.After(v.until):
			renew = append(renew, w)
		case v.good:
			ticketed += c.capacityFor(s, w)
		}
	}
	wanted := ticketOversupply*float64(c.startable(s)+s.expiring) - ticketed
	if wanted <= 0 {
		return nil
	}
	renew = c.topAskCandidates(renew, s)
	unknown = c.topAskCandidates(unknown, s)
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
		if len(ids) == maxAskedWorkers || (wanted <= 0 && len(ids) >= minAskedWorkers) {
			return ids
		}
		ids = append(ids, w.ID)
		wanted -= c.capacityFor(s, w) * assumedAllowedShare
	}
	return ids
}

// anyHasCapacity reports whether one of some workers has room for a task of a stage.
func (c *Cell) anyHasCapacity(s *stage, workers []*worker) bool {
	return slices.ContainsFunc(workers, func(w *worker) bool { return c.capacityFor(s, w) > 0 })
}

// capacityFor returns how many tasks of a stage a worker has room for.
func (c *Cell) capacityFor(s *stage, w *worker) float64 {
	n := s.step.Occupied().CountIn(w.free(), int64(len(s.idle)+s.expiring))
	if s.step.MaxPerWorker > 0 {
		n = min(n, int64(s.step.MaxPerWorker-s.runsPerWorker[w]))
	}
	return float64(n)
}

// AdviceAnswered takes in the answer to a question about a stage.
func (c *Cell) AdviceAnswered(stage job.StageID, asked []string, tickets []advice.Ticket, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	askedAt := c.adviceCalls[stage].askedAt
	delete(c.adviceCalls, stage)
	j := c.jobs[stage.Job]
	if j == nil {
		return
	}
	s := j.stage(stage.Occurrence, stage.Step)
	if s == nil {
		// The job has ended long ago, and was condensed.
		return
	}
	s.advice.pending = false
	if err != nil {
		s.advice.retryAt = now.Add(adviceRetryDelay)
		c.log.WithField("stage", stage.String()).WithError(err).Info("advice_failed")
		return
	}
	until := now.Add(j.record.Advice.TicketTTL - ticketMargin)
	// What was asked of the life before does not hold for a worker that has restarted since.
	for _, id := range asked {
		if w := c.workers[id]; w != nil && !w.knownSince.After(askedAt) {
			s.advice.verdicts[w] = verdict{incarnation: w.incarnationState}
		}
	}
	for _, t := range tickets {
		if w := c.workers[t.Worker]; w != nil && !w.knownSince.After(askedAt) {
			s.advice.verdicts[w] = verdict{incarnation: w.incarnationState, good: true, ticket: t.Text, until: until}
		}
	}
}
