package cell

import (
	"sort"
	"time"
)

const (
	// spareShare is how many idle workers are kept awake for each one with runs, if
	// that is more than Settings.SpareWorkers: a burst of twice the usual load finds
	// room on them at once.
	spareShare = 0.5
	// parkAfter is how long a worker must have been idle to be parked; most runs of
	// a job follow one another within this.
	parkAfter = 2 * time.Second
	// parkPeriod is how often workers are parked.
	parkPeriod = time.Second
	// maxUnparkingStages is for how many stages, the most urgent ones, a planning pass wakes
	// parked workers. Each of them goes through all workers.
	maxUnparkingStages = 8
	// unparkRetryDelay is how long a stage that no parked worker can hold is passed over, so that
	// its place among those stages is another's.
	unparkRetryDelay = time.Second
	// unparkTimeout is how long a woken worker counts as room that is about to come: a
	// commit and a look, also where the store is slow.
	unparkTimeout = 500 * time.Millisecond
)

// park takes idle workers out of use until they are needed. A parked worker gets no run
// and no look, and the store does not name it. With thousands of workers, looks at idle
// ones would take most of the owner's processor, and a new owner would have to hear them
// all.
func (c *Cell) park(now time.Time) {
	if c.settings.SpareWorkers == 0 || !c.enabled(Parking) || c.recovering || now.Sub(c.lastParkAt) < parkPeriod {
		return
	}
	c.lastParkAt = now
	busy := 0
	var idle []*worker
	for _, w := range c.workers {
		switch {
		case w.parked:
		case len(w.attempts) > 0:
			busy++
			w.idleSince = time.Time{}
		case w.idleSince.IsZero():
			w.idleSince = now
		case w.canPark(now):
			idle = append(idle, w)
		}
	}
	spare := max(c.settings.SpareWorkers, int(spareShare*float64(busy)))
	if len(idle) <= spare {
		return
	}
	sort.Slice(idle, func(a, b int) bool {
		if !idle[a].idleSince.Equal(idle[b].idleSince) {
			return idle[a].idleSince.Before(idle[b].idleSince)
		}
		return idle[a].ID < idle[b].ID
	})
	for _, w := range idle[:len(idle)-spare] {
		c.setParked(w, true)
		c.dirtyChunks.mark(w.ID)
	}
}

// setParked parks a worker or takes it back. Either way it is used only after the
// store names it and it has reported: a commit that was under way when it was parked
// may have marked it as stored since.
func (c *Cell) setParked(w *worker, parked bool) {
	w.parked, w.stored, w.reported = parked, false, false
	if parked {
		c.parkedCount++
		return
	}
	c.parkedCount--
}

// canPark reports whether nothing of ours can be on an idle worker and nothing is
// left to tell it.
func (w *worker) canPark(now time.Time) bool {
	return w.reported && w.stored && !w.cordoned && w.unlistedAt.IsZero() && w.ackedEnd == w.seenEnd && now.Sub(w.idleSince) >= parkAfter
}

// unpark has a parked worker looked at, and used as soon as the store names it and
// it has answered.
func (c *Cell) unpark(w *worker, now time.Time) {
	c.setParked(w, false)
	w.unparkedAt, w.idleSince = now, now
	c.dirtyChunks.mark(w.ID)
	c.orders = append(c.orders, PollOrder{Worker: w.ID})
}

// canUnpark reports whether a worker is parked and may be used again.
func (w *worker) canUnpark() bool {
	return w.parked && !w.Draining && !w.evacuating && w.unlistedAt.IsZero()
}

// unparking reports whether a worker was woken and will be usable in a moment.
func (w *worker) unparking(now time.Time) bool {
	return !w.parked && !w.unparkedAt.IsZero() && now.Sub(w.unparkedAt) < unparkTimeout && !w.usable(now)
}

// unparkFor wakes parked workers for the idle tasks of a stage that the usable ones
// have no room for, and reports whether some are coming.
func (c *Cell) unparkFor(s *stage, view *planView, now time.Time) bool {
	if c.parkedCount == 0 || view.unparkingStages == maxUnparkingStages || now.Before(s.unparkRetryAt) {
		return false
	}
	view.unparkingStages++
	wanted := c.missingCapacity(s, view)
	if wanted <= 0 {
		return false
	}
	share := s.assumedShare()
	var parked []*worker
	for _, w := range c.workers {
		if !c.fitsWhenIdle(s, w) {
			continue
		}
		switch {
		case w.unparking(now):
			wanted -= c.capacityFor(s, w) * share
		case w.canUnpark():
			parked = append(parked, w)
		}
	}
	if len(parked) == 0 && wanted > 0 {
		s.unparkRetryAt = now.Add(unparkRetryDelay)
		return false
	}
	sort.Slice(parked, func(a, b int) bool { return s.unparksBefore(parked[a], parked[b]) })
	c.unparkSome(s, parked, wanted, share, now)
	return true
}

// unparkSome wakes workers in their order until the tasks that are wanted have room,
// share of which is counted, and returns how many it woke.
func (c *Cell) unparkSome(s *stage, parked []*worker, wanted, share float64, now time.Time) int {
	for i, w := range parked {
		if wanted <= 0 {
			return i
		}
		c.unpark(w, now)
		wanted -= c.capacityFor(s, w) * share
	}
	return len(parked)
}

// unparksBefore reports whether a stage has a woken before b: near its data, and
// whole racks, for gangs that belong into one.
func (s *stage) unparksBefore(a, b *worker) bool {
	if local := s.isLocal(a); local != s.isLocal(b) {
		return local
	}
	if a.Rack != b.Rack {
		return a.Rack < b.Rack
	}
	return a.ID < b.ID
}

// assumedShare is the assumed share of workers, of which the adviser was not
// asked, that may run the stage.
func (s *stage) assumedShare() float64 {
	if s.job.record.Advice == nil {
		return 1
	}
	return assumedAllowedShare
}

// missingCapacity returns for how many tasks of a stage the usable workers have no room.
// Where the urgent reserve keeps the stage out, that is all of them.
func (c *Cell) missingCapacity(s *stage, view *planView) float64 {
	wanted := float64(c.startable(s))
	if s.job.record.Advice != nil {
		wanted *= ticketOversupply
	}
	if !view.allowsCPU(s, s.step.Occupied().MilliCPU) {
		return wanted
	}
	for _, w := range view.usable {
		if !c.eligible(s, w) {
			continue
		}
		offered := c.capacityFor(s, w)
		if v, known := s.advice.verdictFor(w); !known {
			offered *= s.assumedShare()
		} else if !v.good {
			continue
		}
		wanted -= offered
	}
	return wanted
}

// unparkLocal wakes parked workers near a stage's data, and reports whether the stage
// should wait for them: far from its data a task takes several times as long.
func (c *Cell) unparkLocal(s *stage, now time.Time) bool {
	if c.parkedCount == 0 || s.step.DataRack == "" {
		return false
	}
	wanted := float64(c.startable(s))
	unparking := false
	var parked []*worker
	for _, w := range c.workers {
		if !s.isLocal(w) || !c.eligible(s, w) {
			continue
		}
		switch {
		case w.canUnpark():
			parked = append(parked, w)
		case w.unparking(now):
			unparking = true
			wanted -= c.capacityFor(s, w)
		case w.usable(now):
			wanted -= c.capacityFor(s, w)
		}
	}
	return c.unparkSome(s, parked, wanted, 1, now) > 0 || unparking
}
