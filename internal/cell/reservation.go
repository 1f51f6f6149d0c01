package cell

import (
	"cmp"
	"slices"
	"time"

	"gentianstand/internal/resource"
)

const (
	// largeShare is the share of a worker, in any resource, above which a task is large. Two
	// large tasks never fit on one worker, and some smaller task nearly always occupies the
	// capacity they need.
	largeShare = 0.5
	// reserveShare bounds the workers reserved at the same time, as a share of the usable
	// ones; one is always allowed. A reserved worker is partly idle.
	reserveShare = 0.02
	// maxReservation bounds a reservation, as the tasks that occupy the worker may take much
	// longer than expected.
	maxReservation = 8 * time.Second
	// backfillSafetyFactor multiplies the usual duration of a task when it is checked whether
	// the task may be backfilled ahead of a reservation.
	backfillSafetyFactor = 1.3
)

// reservation keeps the capacity of one worker for a large task of a stage until enough runs
// there have ended. Without it, small tasks would take the place of each run that ends. Small
// tasks are backfilled if they will end in time or fit next to the large one.
type reservation struct {
	stage *stage
	since time.Time
	// ready is when the capacity is expected to be free, and spare is what remains then next
	// to the large task. All are recomputed in each planning pass.
	ready time.Time
	// end is when the large task is then expected to end.
	end   time.Time
	spare resource.Amount
}

// large reports whether the stage's tasks are large on a worker.
func (s *stage) large(w *worker) bool { return s.largeOn(w.Capacity) }

func (s *stage) largeOn(capacity resource.Amount) bool {
	need := s.step.Occupied()
	exceeds := func(need, have int64) bool { return float64(need) > largeShare*float64(have) && need > 0 }
	return exceeds(need.MilliCPU, capacity.MilliCPU) || exceeds(need.MemoryMiB, capacity.MemoryMiB) ||
		exceeds(need.Accelerators, capacity.Accelerators)
}

// renewReservations drops obsolete reservations and recomputes the others.
func (c *Cell) renewReservations(view *planView, now time.Time) {
	for _, w := range c.workers {
		r := w.reserved
		if r == nil {
			continue
		}
		_, waiting := c.waiting[r.stage]
		if !waiting || !w.usable(now) || now.Sub(r.since) > maxReservation || !c.mayReserveOn(r.stage, w) || c.startable(r.stage) == 0 {
			w.reserved = nil
			continue
		}
		view.reserved[r.stage]++
		c.estimateReady(w, now)
	}
}

// mayReserveOn reports whether a worker could run the stage with free capacity and the stage
// has no need of a ticket, or the adviser allowed the worker.
func (c *Cell) mayReserveOn(s *stage, w *worker) bool {
	if !c.fitsWhenIdle(s, w) {
		return false
	}
	v, _ := s.advice.verdictFor(w)
	return s.job.record.Advice == nil || v.approved
}

// reserve reserves workers for the large tasks of a stage that found no free capacity,
// preferring workers on which they will end soonest. The most urgent queues use preemption instead.
func (c *Cell) reserve(s *stage, view *planView, now time.Time) {
	if !c.enabled(Reservations) || s.job.record.Priority <= 0 || s.step.BestEffort || !s.largeOn(view.minCapacity) || !view.mayReserve() {
		return
	}
	wanted := c.startable(s) - view.reserved[s]
	if wanted <= 0 {
		return
	}
	var candidates []*worker
	for _, w := range c.allowed(s, view, now) {
		if w.reserved == nil && s.large(w) && c.fitsWhenIdle(s, w) {
			w.reserved = &reservation{stage: s, since: now}
			c.estimateReady(w, now)
			candidates = append(candidates, w)
		}
	}
	slices.SortFunc(candidates, func(a, b *worker) int {
		return cmp.Or(a.reserved.end.Compare(b.reserved.end), cmp.Compare(a.ID, b.ID))
	})
	for i, w := range candidates {
		if i >= wanted || !view.mayReserve() {
			w.reserved = nil
			continue
		}
		view.reserved[s]++
		c.stats.Reservations++
	}
}

// mayReserve reports whether one more worker may be reserved.
func (v *planView) mayReserve() bool {
	reserved := 0
	for _, n := range v.reserved {
		reserved += n
	}
	return float64(reserved+1) <= max(1, reserveShare*float64(len(v.usable)))
}

// estimateReady computes when a reserved worker will have free capacity for its large task.
func (c *Cell) estimateReady(w *worker, now time.Time) {
	r := w.reserved
	need := r.stage.step.Occupied()
	free := w.free()
	r.ready = now
	runs := make([]*attempt, 0, len(w.attempts))
	for a := range w.attempts {
		runs = append(runs, a)
	}
	slices.SortFunc(runs, func(a, b *attempt) int { return cmp.Compare(c.likelyRemaining(a, now), c.likelyRemaining(b, now)) })
	for _, a := range runs {
		if need.Fits(free) {
			break
		}
		free = free.Add(a.task.stage.step.Occupied())
		r.ready = now.Add(c.likelyRemaining(a, now))
	}
	r.end = r.ready.Add(c.expectedDuration(r.stage, w))
	r.spare = free.Sub(need)
}

// likelyRemaining estimates how long a run will continue, from its progress or else from the
// usual duration of its queue's tasks.
func (c *Cell) likelyRemaining(a *attempt, now time.Time) time.Duration {
	step := a.task.stage.step
	switch {
	case a.phase == stopping:
		return c.settings.StopGrace
	case step.LongRunning:
		return maxReservation
	case a.percent > 5:
		return max(0, c.expectedRemaining(a, now))
	}
	return max(0, c.expectedDuration(a.task.stage, a.worker)-a.elapsed(now))
}

// usualTaskDuration returns how long a task of the stage usually takes.
func (c *Cell) usualTaskDuration(s *stage) time.Duration {
	return c.durations.conservative(s.job.record.Queue, s.step.Estimate, 1)
}

// allowedByReservation reports whether a stage may use capacity on a worker that may be
// reserved: because the reservation is its own or for a less urgent queue, or because the
// reservation still holds. Long-running tasks ignore reservations, as the task for which the
// worker is reserved may never start.
func (c *Cell) allowedByReservation(s *stage, w *worker, now time.Time) bool {
	r := w.reserved
	if r == nil || r.stage == s || s.step.LongRunning || s.job.record.Priority < r.stage.job.record.Priority {
		return true
	}
	if now.Add(time.Duration(backfillSafetyFactor * float64(c.expectedDuration(s, w)))).Before(r.ready) {
		return true
	}
	return s.step.Occupied().Fits(r.spare)
}
