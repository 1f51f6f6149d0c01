package cell

import (
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/resource"
)

// forecastPeriod is how long the expected ends of a worker's runs are used, unless a run is added or
// removed. Estimates of durations are off by up to a half.
const forecastPeriod = 100 * time.Millisecond

// workerForecast is the capacity that is expected to become free on a worker, for the adviser calls of
// one queue.
type workerForecast struct {
	validUntil time.Time
	cost       job.AdviceCost
	// byAnswer becomes free until a call that starts now is answered, and byExpiry until its tickets
	// expire.
	byAnswer, byExpiry resource.Amount
	// claimed is what the stages ahead are expected to use, if claimedPass is the planning pass.
	claimed     resource.Amount
	claimedPass uint64
}

// invalidate makes the next use compute the forecast again.
func (f *workerForecast) invalidate() { f.validUntil = time.Time{} }

// forecast returns the capacity that is expected to be free on a worker when a call that starts now is
// answered and when its tickets expire, without what the stages ahead will use.
func (c *Cell) forecast(w *worker, cost *job.AdviceCost, now time.Time) (atAnswer, atExpiry resource.Amount) {
	f := &w.forecast
	if !now.Before(f.validUntil) || f.cost != *cost {
		c.forecastEnds(w, cost, now)
	}
	free := w.free()
	if f.claimedPass == c.pass {
		free = free.Sub(f.claimed)
	}
	return free.Add(f.byAnswer), free.Add(f.byExpiry)
}

// forecastEnds adds up what the runs on a worker occupy that are expected to end.
func (c *Cell) forecastEnds(w *worker, cost *job.AdviceCost, now time.Time) {
	answer := c.budget.times.Expected(cost.Duration(typicalCallSize))
	expiry := answer + cost.TicketTTL - ticketMargin
	f := &w.forecast
	f.validUntil, f.cost = now.Add(forecastPeriod), *cost
	f.byAnswer, f.byExpiry = resource.Amount{}, resource.Amount{}
	for a := range w.attempts {
		left := c.likelyRemaining(a, now)
		if left > expiry {
			continue
		}
		f.byExpiry = f.byExpiry.Add(a.task.stage.step.Occupied())
		if left <= answer {
			f.byAnswer = f.byAnswer.Add(a.task.stage.step.Occupied())
		}
	}
}

// claim records what a stage is expected to use on the workers for which it holds tickets or awaits
// them, so that the stages behind it do not count on that capacity.
func (c *Cell) claim(s *stage, view *planView, now time.Time) {
	if view.budget == nil || view.budget.paused || len(s.idle) == 0 || s.job.record.Advice == nil {
		return
	}
	call, pending := c.adviceCalls[s.id]
	if !pending && len(s.advice.live) == 0 {
		return
	}
	share := c.budget.shares.Of(s.job.record.Queue)
	total := 0.0
	c.eachTicket(s, now, func(w *worker) { total += float64(w.Capacity.MilliCPU) })
	for _, w := range call.workers {
		total += share * float64(w.Capacity.MilliCPU)
	}
	tasks := float64(c.startable(s)) / max(1, total)
	c.eachTicket(s, now, func(w *worker) { c.claimOn(w, s, tasks*float64(w.Capacity.MilliCPU), 1, view, now) })
	for _, w := range call.workers {
		c.claimOn(w, s, tasks*share*float64(w.Capacity.MilliCPU), share, view, now)
	}
}

// claimOn records that a stage is expected to run a number of tasks on a worker, but no more than will
// fit there if the worker is allowed, which has the given probability.
func (c *Cell) claimOn(w *worker, s *stage, tasks, probability float64, view *planView, now time.Time) {
	_, free := c.forecast(w, view.budget.cost, now)
	tasks = min(tasks, probability*c.tasksIn(s, w, free))
	if tasks <= 0 {
		return
	}
	need := s.step.Occupied()
	amount := resource.Amount{
		MilliCPU:     int64(tasks * float64(need.MilliCPU)),
		MemoryMiB:    int64(tasks * float64(need.MemoryMiB)),
		Accelerators: int64(tasks * float64(need.Accelerators)),
	}
	view.budget.spareMilliCPU -= amount.MilliCPU
	w.forecast.claim(amount, c.pass)
}

// eachTicket calls f for each worker for which a stage holds a valid ticket.
func (c *Cell) eachTicket(s *stage, now time.Time, f func(*worker)) {
	s.advice.dropExpired(now)
	for _, issued := range s.advice.live {
		for _, w := range issued.workers {
			if s.advice.holds(w, issued.expiresAt) {
				f(w)
			}
		}
	}
}

// claim adds to what the stages ahead use in a planning pass.
func (f *workerForecast) claim(amount resource.Amount, pass uint64) {
	if f.claimedPass != pass {
		f.claimedPass, f.claimed = pass, resource.Amount{}
	}
	f.claimed = f.claimed.Add(amount)
}
