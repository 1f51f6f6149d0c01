package cell

import (
	"slices"
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/job"
)

const (
	// advisedWorkers is the size of a usual call for advice, which the platform
	// counts into the ideal duration of a stage.
	advisedWorkers = 30
	// mostAsked bounds one question; the adviser takes at most 100 workers.
	mostAsked = 60
	// leastAsked is the smallest first question: with about a third of the
	// workers allowed, fewer often bring no ticket at all.
	leastAsked = 8
	// guessedGood is the assumed share of workers that may run a stage. A guess that is
	// too low costs a few more workers in a question, one that is too high a second question.
	guessedGood = 0.3
	// wantedRoom is for how many times its idle tasks a stage wants room with
	// tickets: others take some of the room while the question is under way.
	wantedRoom = 2.0
	// adviceRetry is the pause after a call that failed.
	adviceRetry = 150 * time.Millisecond
)

// askAdvice asks about workers for the stage's idle tasks. The stages that are first in
// order keep tickets for full workers, too, and renew them before they expire, as many as
// the adviser can serve: room that opens would be taken before an answer comes.
func (c *Cell) askAdvice(s *stage, room *room, now time.Time) {
	if !c.mayAsk(s, room, now) {
		return
	}
	workers := c.worthAsking(s, room, now)
	if len(workers) == 0 {
		return
	}
	ahead := !c.hasRoomOn(s, workers)
	if ahead && isSlow(s.job.record.Advice) && !c.questions.mayAskAhead(room.slots) {
		return
	}
	c.ask(s, workers, ahead, room, now)
}

// askForLasting asks about workers for lasting tasks ahead of all other questions, through
// all lanes but one. Others could take all lanes for as long as new work comes, and the users
// of a lasting task miss it from the moment that it is away.
func (c *Cell) askForLasting(stages []*stage, room *room, now time.Time) {
	for _, s := range stages {
		if s.step.LongRunning && c.noteDue(s, now) {
			c.askWithRoom(s, room, now)
		}
	}
}

// askWithRoom asks about a stage for which workers have room, or will when it is not held
// back any more.
func (c *Cell) askWithRoom(s *stage, room *room, now time.Time) {
	cost := s.job.record.Advice
	if cost == nil || isSlow(cost) && !c.questions.mayAskFirst(room.slots) {
		return
	}
	switch {
	case c.heldBack(s):
		c.askHeld(s, room, now)
		return
	case !s.step.Occupied().Fits(room.most) || !c.mayPlace(s, now) || !c.mayAsk(s, room, now) || len(c.fitting(s, room, now)) > 0:
		return
	}
	if workers := c.worthAsking(s, room, now); c.hasRoomOn(s, workers) {
		c.ask(s, workers, false, room, now)
	}
}

// mayAsk reports whether a question about a stage may begin now.
func (c *Cell) mayAsk(s *stage, room *room, now time.Time) bool {
	cost := s.job.record.Advice
	return cost != nil && !s.advice.asking && !now.Before(s.advice.retryAt) && room.slots.any(isSlow(cost))
}

// ask begins a question about a stage.
func (c *Cell) ask(s *stage, workers []string, ahead bool, room *room, now time.Time) {
	cost := s.job.record.Advice
	slow := isSlow(cost)
	room.slots.take(slow)
	s.advice.asking = true
	c.questions[s.id] = question{ahead: ahead, slow: slow, lasting: s.step.LongRunning, askedAt: now}
	c.stats.AdviceCalls++
	c.orders = append(c.orders, AdviceOrder{Stage: s.id, Term: c.settings.Term, Cost: *cost, Workers: workers, Slow: slow})
}

// hasRoomOn reports whether one of some workers has room for a task of the stage now.
func (c *Cell) hasRoomOn(s *stage, ids []string) bool {
	return slices.ContainsFunc(ids, func(id string) bool { return c.takes(s, c.workers[id]) > 0 })
}

// worthAsking returns the workers to ask about, or none if the tickets at hand
// will do: allowed workers whose tickets end before an answer would come, then
// unknown ones, those with most room first. If only unknown ones have room, they are asked
// about alone.
func (c *Cell) worthAsking(s *stage, room *room, now time.Time) []string {
	var renew, unknown []*worker
	ticketed := 0.0
	answer := now.Add(s.job.record.Advice.Duration(advisedWorkers))
	workers := room.usable
	if c.placesOnTrial(s, room, now) {
		workers = append(slices.Clip(workers), room.onTrial...)
	}
	for _, w := range workers {
		if !c.hasRoomEmpty(s, w) || !c.uses(TicketsAhead) && c.takes(s, w) == 0 {
			continue
		}
		v, known := s.advice.about(w)
		switch {
		case !known:
			unknown = append(unknown, w)
		case v.good && answer.After(v.until):
			renew = append(renew, w)
		case v.good:
			ticketed += c.takes(s, w)
		}
	}
	wanted := wantedRoom*float64(c.startable(s)+s.expiring) - ticketed
	if wanted <= 0 {
		return nil
	}
	renew = c.mostRoomFirst(renew, s)
	unknown = c.mostRoomFirst(unknown, s)
	if c.anyTakes(s, unknown) && !c.anyTakes(s, renew) {
		// Tickets for many full workers expire as fast as they are renewed.
		renew = nil
	}
	var ids []string
	for _, w := range renew {
		if len(ids) == mostAsked || wanted <= 0 {
			return ids
		}
		ids = append(ids, w.ID)
		wanted -= c.takes(s, w)
	}
	for _, w := range unknown {
		if len(ids) == mostAsked || (wanted <= 0 && len(ids) >= leastAsked) {
			return ids
		}
		ids = append(ids, w.ID)
		wanted -= c.takes(s, w) * guessedGood
	}
	return ids
}

// anyTakes reports whether one of some workers has room for a task of a stage.
func (c *Cell) anyTakes(s *stage, workers []*worker) bool {
	return slices.ContainsFunc(workers, func(w *worker) bool { return c.takes(s, w) > 0 })
}

// takes returns how many tasks of a stage a worker has room for.
func (c *Cell) takes(s *stage, w *worker) float64 {
	n := s.step.Occupied().CountIn(w.free(), int64(len(s.idle)+s.expiring))
	if s.step.MaxPerWorker > 0 {
		n = min(n, int64(s.step.MaxPerWorker-s.perWorker[w]))
	}
	return float64(n)
}

// Advised takes in the answer to a question about a stage.
func (c *Cell) Advised(stage job.StageID, asked []string, tickets []advice.Ticket, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	askedAt := c.questions[stage].askedAt
	delete(c.questions, stage)
	j := c.jobs[stage.Job]
	if j == nil {
		return
	}
	s := j.stage(stage.Occurrence, stage.Step)
	if s == nil {
		// The job has ended long ago, and was condensed.
		return
	}
	s.advice.asking = false
	if err != nil {
		s.advice.retryAt = now.Add(adviceRetry)
		c.log.WithField("stage", stage.String()).WithError(err).Info("advice_failed")
		return
	}
	until := now.Add(j.record.Advice.TicketTTL - ticketMargin)
	// What was asked of the life before does not hold for a worker that has restarted since.
	for _, id := range asked {
		if w := c.workers[id]; w != nil && !w.knownSince.After(askedAt) {
			s.advice.verdicts[w] = verdict{life: w.life}
		}
	}
	for _, t := range tickets {
		if w := c.workers[t.Worker]; w != nil && !w.knownSince.After(askedAt) {
			s.advice.verdicts[w] = verdict{life: w.life, good: true, ticket: t.Text, until: until}
		}
	}
}
