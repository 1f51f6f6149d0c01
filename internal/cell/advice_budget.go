package cell

import (
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/advicebudget"
	"gentianstand/internal/job"
)

const (
	// maxFruitlessScans bounds, for each planning pass, the stages whose workers are scanned without a
	// call, and rescanDelay is the pause before such a stage is scanned again. It doubles with each scan
	// in series, up to maxRescanDelay, so that stages that can use no call do not keep others from a
	// scan. Hundreds of stages may wait, and each scan visits all workers.
	maxFruitlessScans = 8
	rescanDelay       = 100 * time.Millisecond
	maxRescanDelay    = 400 * time.Millisecond
	// budgetPause is the pause after a planning pass in which a slot was free and no stage could use it.
	// A forecast of all workers in each pass would take 2% of a core. A call takes 700 ms.
	budgetPause = 40 * time.Millisecond
)

// adviceBudget holds what the cell has learned about adviser calls.
type adviceBudget struct {
	shares *advicebudget.Shares
	turns  *advicebudget.Turns
	times  advicebudget.CallTimes
	// pausedUntil is the end of a budgetPause.
	pausedUntil time.Time
}

func newAdviceBudget() adviceBudget {
	return adviceBudget{shares: advicebudget.NewShares(), turns: advicebudget.NewTurns()}
}

// budgetPass is the division of adviser calls in one planning pass. It exists only while calls are
// scarcer than the stages that need one.
type budgetPass struct {
	// slots is the number of slots for slow calls, including those in use.
	slots int
	// cost is that of the least urgent slow calls. Expected ends are counted until the tickets of such
	// a call expire.
	cost *job.AdviceCost
	// first is the most urgent priority with a stage that needs a slow or quick call.
	first int
	// spareMilliCPU is what is free or becomes free while the tickets of a call are valid, without the
	// urgent reserve and without what the stages ahead will use.
	spareMilliCPU int64
	// deferred are the stages beyond the share of their workspace. They ask after all others.
	deferred  []*stage
	fruitless int
	// paused is set during a budgetPause, and called once a stage has asked.
	paused, called bool
}

// beginBudget divides the slow calls of a planning pass if they are scarce and one may start now.
func (c *Cell) beginBudget(stages []*stage, view *planView, now time.Time) {
	if !c.enabled(AdviceBudget) || !view.slots.available(true) {
		return
	}
	var cost *job.AdviceCost
	asking, first := 0, -1
	for _, s := range stages {
		if s.job.record.Advice == nil || s.step.LongRunning {
			continue
		}
		if first < 0 {
			first = s.job.record.Priority
		}
		if isSlowCall(s.job.record.Advice) {
			asking++
			cost = s.job.record.Advice
		}
	}
	_, slots := c.adviceCalls.slowPending(view.slots, func(adviceCall) bool { return true })
	if !advicebudget.Scarce(asking, slots) {
		return
	}
	view.budget = &budgetPass{slots: slots, first: first, cost: cost, paused: now.Before(c.budget.pausedUntil)}
	if view.budget.paused {
		return
	}
	for _, w := range view.usable {
		_, atExpiry := c.forecast(w, cost, now)
		view.budget.spareMilliCPU += atExpiry.MilliCPU
	}
	if !view.unreserved {
		view.budget.spareMilliCPU -= int64(urgentReserve * float64(view.totalMilliCPU))
	}
}

// dividesCallsOf reports whether a stage's call is subject to the budget.
func (v *planView) dividesCallsOf(s *stage) bool {
	return v.budget != nil && isSlowCall(s.job.record.Advice) && !s.step.LongRunning && !s.step.BestEffort && s.expiring == 0
}

// askWithinBudget requests tickets for a stage if it can use them.
func (c *Cell) askWithinBudget(s *stage, view *planView, now time.Time) {
	b := view.budget
	if b.paused {
		return
	}
	if s.job.overShare {
		b.deferred = append(b.deferred, s)
		return
	}
	if c.askUsable(s, view, now) {
		c.budget.turns.Asked(s.job.record.Priority, now)
	}
}

// askUsable requests tickets for a stage if it can use them, and reports whether it did.
func (c *Cell) askUsable(s *stage, view *planView, now time.Time) bool {
	b := view.budget
	if b.fruitless >= maxFruitlessScans || now.Before(s.advice.scanAt) || b.spareMilliCPU < s.step.Occupied().MilliCPU {
		return false
	}
	workers, atAnswer := c.usableWorkers(s, view, now)
	if len(workers) == 0 || !atAnswer && !c.adviceCalls.mayPrefetch(view.slots) {
		b.fruitless++
		s.advice.delayScan(now)
		return false
	}
	c.ask(s, workers, !atAnswer, view, now)
	s.advice.scanDelay = 0
	b.called = true
	return true
}

// endBudget requests tickets for the stages beyond the share of their workspace, and pauses if no
// stage could use a slot.
func (c *Cell) endBudget(view *planView, now time.Time) {
	if view.budget == nil || view.budget.paused {
		return
	}
	for _, s := range view.budget.deferred {
		if !c.mayAsk(s, view, now) {
			continue
		}
		if c.askUsable(s, view, now) {
			c.budget.turns.Asked(s.job.record.Priority, now)
		}
	}
	if !view.budget.called {
		c.budget.pausedUntil = now.Add(budgetPause)
	}
}

// askStarved requests tickets for a stage of a priority that has long had no call because more urgent
// stages used all of them, if it can start now.
func (c *Cell) askStarved(stages []*stage, view *planView, now time.Time) {
	b := view.budget
	if b == nil || b.paused {
		return
	}
	for _, s := range stages {
		if s.job.record.Priority <= b.first || s.job.overShare || s.job.record.Advice == nil || !view.dividesCallsOf(s) {
			continue
		}
		if !c.checkDue(s, now) || !c.budget.turns.Allowed(s.job.record.Priority, s.readyAt, now) {
			continue
		}
		if !s.step.Occupied().Fits(view.maxFree) || !c.mayAsk(s, view, now) || !c.mayPlace(s, now) || len(c.fitting(s, view, now)) > 0 {
			continue
		}
		if c.askUsable(s, view, now) {
			c.budget.turns.Took(s.job.record.Advice.Duration(typicalCallSize), b.slots, now)
			return
		}
	}
}

// learnFromAnswer updates the expected duration of calls and the share of workers that are allowed.
func (c *Cell) learnFromAnswer(s *stage, call adviceCall, tickets []advice.Ticket, now time.Time) {
	allowed := map[string]bool{}
	for _, t := range tickets {
		allowed[t.Worker] = true
	}
	asked, granted := 0, 0
	for _, w := range call.workers {
		if _, known := s.advice.verdictFor(w); known {
			continue
		}
		asked++
		if allowed[w.ID] {
			granted++
		}
	}
	c.budget.shares.Answered(s.job.record.Queue, asked, granted)
	if call.slow && !call.askedAt.IsZero() {
		c.budget.times.Answered(now.Sub(call.askedAt), s.job.record.Advice.Duration(len(call.workers)))
	}
}
