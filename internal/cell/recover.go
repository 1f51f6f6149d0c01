package cell

import "time"

// maxUnreportedLogged bounds the lines about workers that a recovery waited for.
const maxUnreportedLogged = 5

// recover ends the time in which runs of an earlier owner may go on unseen: it
// is over when every known worker has reported or its runs are known from the
// store, or when the longest lease that the earlier owner can have given must have
// ended.
func (c *Cell) recover(now time.Time) {
	if !c.recovering {
		return
	}
	c.fenced = c.settings.PreviousOwnerStopped || !c.previousOwnerStoppedAt.IsZero() || now.Sub(c.startedAt) >= overtakenOwnerLimit
	if now.Sub(c.startedAt) >= c.earlierLeaseLimit() || c.allWorkersAccounted() {
		c.logUnreported()
		c.recovering = false
		c.fenced = true
		c.log.WithField("took_ms", now.Sub(c.startedAt).Milliseconds()).Info("recovered")
	}
}

// earlierLeaseLimit is how long runs of an earlier owner may go on where this one
// cannot see them: every owner grants the same lease, the worker's clock may be
// slow, and an earlier owner that still lives may extend leases for overtakenFor
// after it lost its ownership.
func (c *Cell) earlierLeaseLimit() time.Duration {
	limit := time.Duration(float64(c.settings.Lease)*(1+maxClockDrift)) + clockEstimateError + expiryMargin
	if c.settings.PreviousOwnerStopped {
		return limit
	}
	if !c.previousOwnerStoppedAt.IsZero() {
		return limit + min(overtakenOwnerLimit, c.previousOwnerStoppedAt.Sub(c.startedAt))
	}
	return limit + overtakenOwnerLimit
}

// PreviousOwnerStopped takes in that the earlier owner gives no orders any more from now on,
// which was not known at the take-over.
func (c *Cell) PreviousOwnerStopped(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.previousOwnerStoppedAt.IsZero() {
		c.previousOwnerStoppedAt = now
	}
}

// logUnreported logs the workers that held the recovery up.
func (c *Cell) logUnreported() {
	logged := 0
	for _, w := range c.workers {
		if w.mayHaveEarlierRuns() && logged < maxUnreportedLogged {
			logged++
			c.log.WithFields(workerFields(w)).Warn("worker_not_heard")
		}
	}
}

// mayHaveEarlierRuns reports whether an earlier owner may have left runs on a worker that are not
// booked.
func (w *worker) mayHaveEarlierRuns() bool { return !w.parked && !w.reported && !w.accounted }

func (c *Cell) allWorkersAccounted() bool {
	if len(c.workers) == 0 {
		return false
	}
	for _, w := range c.workers {
		if w.mayHaveEarlierRuns() {
			return false
		}
	}
	return true
}

// heldBack reports whether a stage's tasks may run unseen under an earlier owner
// where that would do harm. Jobs accepted under this owner cannot, nor can a
// stage whose predecessors were seen to end under this owner, and some stages
// may run twice.
func (c *Cell) heldBack(s *stage) bool {
	return c.recovering && s.job.inherited && !s.noEarlierRuns && !s.step.AllowDuplicates
}
