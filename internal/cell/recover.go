package cell

import "time"

// mostUnheardLogged bounds the lines about workers that a recovery waited for.
const mostUnheardLogged = 5

const (
	// hearingMost is how long a new owner hears workers at most before it starts tasks
	// anew that may run twice; it hears most of them within 0.7 s.
	hearingMost = 1500 * time.Millisecond
	// hearingShare of the known workers have not answered yet while they are heard.
	hearingShare = 0.1
)

// recover ends the time in which runs of an earlier owner may go on unseen: it
// is over when every known worker has reported or its runs are known from the
// store, or when the longest lease that the earlier owner can have given must have
// ended.
func (c *Cell) recover(now time.Time) {
	if !c.recovering {
		return
	}
	c.fenced = c.settings.EarlierStopped || !c.earlierStoppedAt.IsZero() || now.Sub(c.began) >= overtakenFor
	unheard := c.unheard()
	c.hearing = float64(unheard) > hearingShare*float64(len(c.workers)) && now.Sub(c.began) < hearingMost
	if now.Sub(c.began) >= c.unseenLimit() || unheard == 0 && len(c.workers) > 0 {
		c.logUnheard()
		c.recovering, c.hearing = false, false
		c.fenced = true
		c.log.WithField("took_ms", now.Sub(c.began).Milliseconds()).Info("recovered")
	}
}

// unseenLimit is how long runs of an earlier owner may go on where this one
// cannot see them: every owner grants the same lease, the worker's clock may be
// slow, and an earlier owner that still lives may extend leases for overtakenFor
// after it lost its ownership.
func (c *Cell) unseenLimit() time.Duration {
	limit := time.Duration(float64(c.settings.Lease)*(1+clockDrift)) + guessError + lapseMargin
	if c.settings.EarlierStopped {
		return limit
	}
	if !c.earlierStoppedAt.IsZero() {
		return limit + min(overtakenFor, c.earlierStoppedAt.Sub(c.began))
	}
	return limit + overtakenFor
}

// EarlierStopped takes in that the earlier owner gives no orders any more from now on,
// which was not known at the take-over.
func (c *Cell) EarlierStopped(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.earlierStoppedAt.IsZero() {
		c.earlierStoppedAt = now
	}
}

// logUnheard logs the workers that held the recovery up.
func (c *Cell) logUnheard() {
	logged := 0
	for _, w := range c.workers {
		if w.unheard() && logged < mostUnheardLogged {
			logged++
			c.log.WithFields(workerFields(w)).Warn("worker_not_heard")
		}
	}
}

// unheard reports whether an earlier owner may have left runs on a worker that are not
// booked.
func (w *worker) unheard() bool { return !w.parked && !w.reported && !w.accounted }

// unheard returns how many workers may have runs of an earlier owner that are not booked.
func (c *Cell) unheard() int {
	n := 0
	for _, w := range c.workers {
		if w.unheard() {
			n++
		}
	}
	return n
}

// heldBack reports whether a stage's tasks may run unseen under an earlier owner
// where that would do harm. Jobs accepted under this owner cannot, nor can a
// stage whose predecessors were seen to end under this owner. Stages that may run twice
// wait only while most workers are about to be heard.
//
// Load pattern: a new owner of 540 workers knows of no run yet. It started 501 tasks
// anew in two seconds that ran already, beside 2,090 that waited.
func (c *Cell) heldBack(s *stage) bool {
	if !c.recovering || !s.job.inherited || s.fresh {
		return false
	}
	return c.hearing || !s.step.AllowDuplicates
}
