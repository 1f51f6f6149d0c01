package cell

import (
	"sort"
	"time"
)

const (
	// spareShare is the number of idle workers kept in use per busy worker, if that exceeds
	// Settings.SpareWorkers. A burst of twice the usual load then finds free capacity at once.
	spareShare = 0.5
	// parkAfter is how long a worker must have been idle to be parked. Most runs of a job
	// follow one another within this time.
	parkAfter = 2 * time.Second
	// parkPeriod is how often workers are parked.
	parkPeriod = time.Second
	// maxUnparkingStages bounds the stages, most urgent first, for which a planning pass
	// unparks workers. Each of them scans all workers.
	maxUnparkingStages = 8
	// unparkRetryDelay is how long a stage is skipped if no parked worker can run its tasks,
	// so that it does not count against maxUnparkingStages.
	unparkRetryDelay = time.Second
	// unparkTimeout is how long an unparked worker counts as upcoming capacity. It covers a
	// commit and a poll, also with a slow store.
	unparkTimeout = 500 * time.Millisecond
)

// park takes idle workers out of use until they are needed. A parked worker gets no runs and
// no polls, and the store does not list it. With thousands of workers, polls of idle ones
// would take most of the owner's CPU time, and a new owner would have to wait for reports from
// all of them.
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

// setParked parks or unparks a worker. Afterwards it is used only once the store lists it and
// it has reported. Unparking clears stored again, because a commit that was in progress when
// the worker was parked may have set it since.
func (c *Cell) setParked(w *worker, parked bool) {
	w.parked, w.stored, w.reported = parked, false, false
	if parked {
		c.parkedCount++
		return
	}
	c.parkedCount--
}

// canPark reports whether an idle worker can have no run of any owner and has no
// unacknowledged end.
func (w *worker) canPark(now time.Time) bool {
	return w.reported && w.stored && !w.cordoned && len(w.unrevoked) == 0 && w.unlistedAt.IsZero() && w.endsStored() && now.Sub(w.idleSince) >= parkAfter
}

// unpark requests a poll of a parked worker. It is used as soon as the store lists it and it
// has answered.
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

// unparking reports whether a worker was unparked recently and is not usable yet.
func (w *worker) unparking(now time.Time) bool {
	return !w.parked && !w.unparkedAt.IsZero() && now.Sub(w.unparkedAt) < unparkTimeout && !w.usable(now)
}

// unparkFor unparks workers for the idle tasks of a stage that do not fit on the usable ones,
// and reports whether the stage should wait for them.
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

// unparkSome unparks workers in the given order until the wanted number of tasks fits, and
// returns how many it unparked. Each worker's capacity counts with the given share.
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

// unparksBefore reports whether a stage unparks worker a before b: workers near its data
// first, then rack by rack, for gangs that should share a rack.
func (s *stage) unparksBefore(a, b *worker) bool {
	if local := s.isLocal(a); local != s.isLocal(b) {
		return local
	}
	if a.Rack != b.Rack {
		return a.Rack < b.Rack
	}
	return a.ID < b.ID
}

// assumedShare is the assumed share of workers without a verdict that may run the stage.
func (s *stage) assumedShare() float64 {
	if s.job.record.Advice == nil {
		return 1
	}
	return assumedAllowedShare
}

// missingCapacity returns how many tasks of a stage do not fit on the usable workers,
// increased by ticketOversupply if the stage needs tickets. If the urgent reserve excludes the
// stage, it counts all of them.
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
		} else if !v.approved {
			continue
		}
		wanted -= offered
	}
	return wanted
}

// unparkLocal unparks workers near a stage's data, and reports whether the stage should wait
// for them: remote tasks take several times as long.
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
