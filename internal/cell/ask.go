package cell

import (
	"math"
	"sort"
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/job"
)

const (
	// advisedWorkers is the size of a usual call for advice, which the platform
	// counts into the ideal duration of a stage.
	advisedWorkers = 30
	// leastAsked is the smallest first question: with about a third of the
	// workers allowed, fewer often bring no ticket at all.
	leastAsked = 8
	// guessedGood is the assumed share of workers that may run a stage, on the
	// low side of what queues have shown (0.35 to 0.7).
	guessedGood = 0.3
	// adviceRetry is the pause after a call that failed.
	adviceRetry = 150 * time.Millisecond
)

// askAdvice asks about workers for the stage's idle tasks, unless a question is
// under way or the tickets at hand only wait for room.
func (c *Cell) askAdvice(s *stage, room *room, now time.Time) {
	b := &s.advice
	if b.asking || now.Before(b.retryAt) {
		return
	}
	workers := c.worthAsking(s, room, now)
	slow := isSlow(s.job.record.Advice)
	if len(workers) == 0 || !room.slots.take(slow) {
		return
	}
	b.asking = true
	c.stats.AdviceCalls++
	c.orders = append(c.orders, AdviceOrder{Stage: s.id, Cost: *s.job.record.Advice, Workers: workers, Slow: slow})
}

// worthAsking returns the workers to ask about: those with room for a task that
// are known as good but need a new ticket, then unknown ones, emptiest first.
func (c *Cell) worthAsking(s *stage, room *room, now time.Time) []string {
	var good, unknown []*worker
	need := s.step.Occupied()
	if !room.allows(s.job.record.Priority, need.MilliCPU) {
		return nil
	}
	for _, w := range room.usable {
		if !c.eligible(s, w) || !need.Fits(w.free()) {
			continue
		}
		v, known := s.advice.verdicts[w.ID]
		switch {
		case !known:
			unknown = append(unknown, w)
		case v.good && !now.Before(v.until):
			good = append(good, w)
		}
	}
	emptiestFirst(good, s)
	emptiestFirst(unknown, s)
	tasks := float64(len(s.idle))
	var ids []string
	for _, w := range good {
		if tasks <= 0 {
			break
		}
		ids = append(ids, w.ID)
		tasks -= c.takes(s, w)
	}
	for _, w := range unknown {
		if (tasks <= 0 && len(ids) >= leastAsked) || len(ids) >= advisedWorkers {
			break
		}
		ids = append(ids, w.ID)
		tasks -= c.takes(s, w) * guessedGood
	}
	return ids
}

// takes returns how many tasks of a stage a worker has room for.
func (c *Cell) takes(s *stage, w *worker) float64 {
	n := s.step.Occupied().CountIn(w.free(), int64(len(s.idle)))
	if s.step.MaxPerWorker > 0 {
		n = min(n, int64(s.step.MaxPerWorker-s.perWorker[w]))
	}
	// Others take room while the question is under way.
	return math.Ceil(float64(n) / 2)
}

func emptiestFirst(list []*worker, s *stage) {
	sort.Slice(list, func(i, k int) bool {
		a, b := list[i], list[k]
		if s.step.Fills && a.servers != b.servers {
			return a.servers < b.servers
		}
		if x, y := a.free().MilliCPU, b.free().MilliCPU; x != y {
			return x > y
		}
		return a.ID < b.ID
	})
}

// Advised takes in the answer to a question about a stage.
func (c *Cell) Advised(stage job.StageID, asked []string, tickets []advice.Ticket, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[stage.Job]
	if j == nil {
		return
	}
	s := j.stage(stage.Occurrence, stage.Step)
	s.advice.asking = false
	if err != nil {
		s.advice.retryAt = now.Add(adviceRetry)
		c.log.WithField("stage", stage.String()).WithError(err).Info("advice_failed")
		return
	}
	until := now.Add(j.record.Advice.Valid - ticketMargin)
	for _, id := range asked {
		s.advice.verdicts[id] = verdict{}
	}
	for _, t := range tickets {
		s.advice.verdicts[t.Worker] = verdict{good: true, ticket: t.Text, until: until}
	}
}
