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
	// reserveMost is how long a reservation lasts at most: the tasks in the way may take
	// much longer than expected.
	reserveMost = 8 * time.Second
	// backfillError is how many times longer than usual a task may take that is started
	// in front of a reservation.
	backfillError = 1.3
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
func (c *Cell) renewReservations(room *room, now time.Time) {
	for _, w := range c.workers {
		r := w.reserved
		if r == nil {
			continue
		}
		_, waits := c.waiting[r.stage]
		if !waits || !w.usable(now) || now.Sub(r.since) > reserveMost || !c.mayHold(r.stage, w) || c.startable(r.stage) == 0 {
			w.reserved = nil
			continue
		}
		room.reserved[r.stage]++
		c.expect(w, now)
	}
}

// mayHold reports whether a worker may run the stage when it has room.
func (c *Cell) mayHold(s *stage, w *worker) bool {
	if !c.hasRoomEmpty(s, w) {
		return false
	}
	v, _ := s.advice.about(w)
	return s.job.record.Advice == nil || v.good
}

// reserve keeps workers for the large tasks of a stage that found no room, those that
// will have room first. Tasks of the most urgent queues stop others instead.
func (c *Cell) reserve(s *stage, room *room, now time.Time) {
	if !c.uses(Reservations) || s.job.record.Priority <= 0 || s.step.BestEffort || !s.largeOn(room.least) || !room.mayReserve() {
		return
	}
	wanted := c.startable(s) - room.reserved[s]
	if wanted <= 0 {
		return
	}
	var free []*worker
	for _, w := range c.allowed(s, room, now) {
		if w.reserved == nil && s.large(w) && c.hasRoomEmpty(s, w) {
			w.reserved = &reservation{stage: s, since: now}
			c.expect(w, now)
			free = append(free, w)
		}
	}
	slices.SortFunc(free, func(a, b *worker) int {
		return cmp.Or(a.reserved.ready.Compare(b.reserved.ready), cmp.Compare(a.ID, b.ID))
	})
	for i, w := range free {
		if i >= wanted || !room.mayReserve() {
			w.reserved = nil
			continue
		}
		room.reserved[s]++
		c.stats.Reservations++
	}
}

// mayReserve reports whether one more worker may be reserved.
func (r *room) mayReserve() bool {
	reserved := 0
	for _, n := range r.reserved {
		reserved += n
	}
	return float64(reserved+1) <= max(1, reserveShare*float64(len(r.usable)))
}

// expect works out when a reserved worker has room for its large task.
func (c *Cell) expect(w *worker, now time.Time) {
	r := w.reserved
	need := r.stage.step.Occupied()
	free := w.free()
	r.ready = now
	runs := make([]*attempt, 0, len(w.attempts))
	for a := range w.attempts {
		runs = append(runs, a)
	}
	slices.SortFunc(runs, func(a, b *attempt) int { return cmp.Compare(c.likelyLeft(a, now), c.likelyLeft(b, now)) })
	for _, a := range runs {
		if need.Fits(free) {
			break
		}
		free = free.Add(a.task.stage.step.Occupied())
		r.ready = now.Add(c.likelyLeft(a, now))
	}
	r.spare = free.Sub(need)
}

// likelyLeft is how long a run will go on: what its progress tells, or what tasks of
// its queue usually take.
func (c *Cell) likelyLeft(a *attempt, now time.Time) time.Duration {
	step := a.task.stage.step
	switch {
	case a.phase == stopping:
		return c.settings.StopGrace
	case step.LongRunning:
		return reserveMost
	case a.percent > 5:
		return max(0, c.expectedLeft(a, now))
	}
	return max(0, c.usual(a.task.stage)-a.elapsed(now))
}

// usual returns how long a task of the stage usually takes.
func (c *Cell) usual(s *stage) time.Duration {
	return c.durations.generous(s.job.record.Queue, s.step.Estimate, 1)
}

// leftFor reports whether a stage may take room on a worker although it may be
// reserved: for itself, for a less urgent queue, or so that the reservation holds. Lasting
// tasks pass in front of any: what the worker is kept for may never come.
func (c *Cell) leftFor(s *stage, w *worker, now time.Time) bool {
	r := w.reserved
	if r == nil || r.stage == s || s.step.LongRunning || s.job.record.Priority < r.stage.job.record.Priority {
		return true
	}
	if now.Add(time.Duration(backfillError * float64(c.usual(s)))).Before(r.ready) {
		return true
	}
	return s.step.Occupied().Fits(r.spare)
}
