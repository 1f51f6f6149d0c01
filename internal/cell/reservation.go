package cell

import (
	"cmp"
	"slices"
	"time"

	"gentianstand/internal/resource"
)

const (
	// largeShare is the share of a worker, in any dimension, from which a task is large:
	// two of them never fit together, and some smaller task is nearly always in the way.
	largeShare = 0.5
	// reserveShare bounds the workers that are reserved at the same time, as a share of
	// the usable ones; one is always allowed. A reserved worker stands partly idle.
	reserveShare = 0.02
	// maxReservation is how long a reservation lasts at most: the tasks in the way may take
	// much longer than expected.
	maxReservation = 8 * time.Second
	// backfillSafetyFactor is how many times longer than usual a task may take that is started
	// in front of a reservation.
	backfillSafetyFactor = 1.3
)

// reservation keeps the room of one worker for a large task of a stage until what is in
// the way has ended. Without it the next small task takes the place of each one that ends.
// Small tasks still pass in front where they will have ended in time, or fit beside.
type reservation struct {
	stage *stage
	since time.Time
	// ready is when the room is expected to be free, and spare what is left then
	// beside the large task. Both are worked out anew in each planning pass.
	ready time.Time
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

// renewReservations drops the reservations that have no use any more, and works the
// others out anew.
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

// mayReserveOn reports whether a worker may run the stage when it has room.
func (c *Cell) mayReserveOn(s *stage, w *worker) bool {
	if !c.fitsWhenIdle(s, w) {
		return false
	}
	v, _ := s.advice.verdictFor(w)
	return s.job.record.Advice == nil || v.good
}

// reserve keeps workers for the large tasks of a stage that found no room, those that
// will have room first. Tasks of the most urgent queues stop others instead.
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
		return cmp.Or(a.reserved.ready.Compare(b.reserved.ready), cmp.Compare(a.ID, b.ID))
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

// estimateReady works out when a reserved worker has room for its large task.
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
	r.spare = free.Sub(need)
}

// likelyRemaining is how long a run will go on: what its progress tells, or what tasks of
// its queue usually take.
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
	return max(0, c.usualTaskDuration(a.task.stage)-a.elapsed(now))
}

// usualTaskDuration returns how long a task of the stage usually takes.
func (c *Cell) usualTaskDuration(s *stage) time.Duration {
	return c.durations.conservative(s.job.record.Queue, s.step.Estimate, 1)
}

// allowedByReservation reports whether a stage may take room on a worker although it may be
// reserved: for itself, for a less urgent queue, or so that the reservation holds. Lasting
// tasks pass in front of any: what the worker is kept for may never come.
func (c *Cell) allowedByReservation(s *stage, w *worker, now time.Time) bool {
	r := w.reserved
	if r == nil || r.stage == s || s.step.LongRunning || s.job.record.Priority < r.stage.job.record.Priority {
		return true
	}
	if now.Add(time.Duration(backfillSafetyFactor * float64(c.usualTaskDuration(s)))).Before(r.ready) {
		return true
	}
	return s.step.Occupied().Fits(r.spare)
}
