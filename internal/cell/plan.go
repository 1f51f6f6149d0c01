package cell

import (
	"slices"
	"time"

	"gentianstand/internal/workorder"
)

// Plan decides what to do now and returns the orders to carry out. The result of every order
// must be passed back to the cell. slots limits the adviser calls among them.
func (c *Cell) Plan(now time.Time, slots AdviceSlots) []Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateOccurrences(now)
	c.recover(now)
	c.measureCapacity(now)
	c.meterJobs()
	if now.Sub(c.lastWatchAt) >= watchPeriod {
		c.lastWatchAt = now
		c.ownerIsolated = c.reachesFewWorkers()
		c.classifyWorkers()
		for _, w := range c.workers {
			c.watch(w, now)
		}
		c.park(now)
		c.countUnconfirmed(now)
	} else if len(c.quotas.Accounts()) != c.accountsCounted {
		c.countUnconfirmed(now)
	}
	c.placeAll(now, slots)
	orders := c.orders
	c.orders = nil
	return orders
}

// placeAll handles the waiting stages in order of urgency.
func (c *Cell) placeAll(now time.Time, slots AdviceSlots) {
	c.placings++
	c.countExpired(now)
	expiring := c.expiring(now)
	if len(c.waiting) == 0 && !expiring.any() {
		c.meterIdle(nil, now)
		return
	}
	view := c.newPlanView(now)
	view.slots = slots
	view.preempt = c.newPreemptView(now)
	if c.recovering {
		view.recoveryDeadline = c.recoveryDeadline()
	}
	c.renewReservations(view, now)
	stages := c.sortedWaiting(now)
	if c.recovering {
		view.heldCallsInSeries = c.heldCallsInSeries(stages, view, now)
	}
	c.beginBudget(stages, view, now)
	c.askForLongRunning(stages, view, now)
	c.askExpiring(expiring.longRunning, view, now)
	c.askStarved(stages, view, now)
	for _, s := range stages {
		switch {
		case !c.checkDue(s, now):
		case c.waitsHeldBack(s, now):
			c.askHeldBack(s, view, now)
		case c.mayPlace(s, now):
			c.placeStage(s, view, now)
		}
		c.claim(s, view, now)
	}
	c.endBudget(view, now)
	c.askExpiring(expiring.finite, view, now)
	c.meterIdle(view, now)
}

// checkDue reports whether a waiting stage is due, and sets readyAt when it first is.
func (c *Cell) checkDue(s *stage, now time.Time) bool {
	if !s.due(now, c.settings.EarlyStart) {
		return false
	}
	if s.readyAt.IsZero() {
		s.readyAt = now
	}
	return true
}

// mayPlace reports whether tasks of a due stage may start now if there is free capacity. It
// fails the job of a stage with a task that has reached the limit of lost workers.
func (c *Cell) mayPlace(s *stage, now time.Time) bool {
	return !c.heldBack(s) && !s.waitsForRunsBefore() && s.job.final == "" && !c.failAtLossLimit(s, now) && !s.backsOff(now) && c.startable(s) > 0
}

// sortedWaiting returns the waiting stages in the order in which they get capacity.
func (c *Cell) sortedWaiting(now time.Time) []*stage {
	type entry struct {
		s    *stage
		item workorder.Item
	}
	entries := make([]entry, 0, len(c.waiting))
	for s := range c.waiting {
		entries = append(entries, entry{s, c.orderItem(s, now)})
	}
	slices.SortFunc(entries, func(a, b entry) int { return c.order.Compare(&a.item, &b.item) })
	stages := make([]*stage, len(entries))
	for i := range entries {
		stages[i] = entries[i].s
	}
	return stages
}

// orderItem describes a waiting stage.
func (c *Cell) orderItem(s *stage, now time.Time) workorder.Item {
	start := s.latestStartAt(&c.durations, c.pace(s))
	item := workorder.Item{
		Job: s.id.Job, Priority: s.job.record.Priority, OverShare: s.job.overShare, LatestStart: start,
		Late: start.Before(now) && c.enabled(LateLast), Started: s.hasStarted(), JobStarted: s.job.started, RemainingPath: s.remainingPath,
	}
	if item.Priority <= 0 {
		item.RemainingWork = s.remainingWork()
	}
	return item
}

// remainingWork returns the work of the tasks that are not done in the stage and in all later steps, in
// processor-seconds.
func (s *stage) remainingWork() float64 {
	sum := coreSeconds(s.step.Occupied(), time.Duration(len(s.tasks)-s.done)*s.step.Estimate)
	for i := s.id.Step + 1; i < len(s.job.record.Steps); i++ {
		step := &s.job.record.Steps[i]
		sum += coreSeconds(step.Occupied(), time.Duration(step.Count)*step.Estimate)
	}
	return sum
}
