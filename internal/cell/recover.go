package cell

import (
	"cmp"
	"slices"
	"time"
)

// maxUnreportedLogged bounds the log lines about workers that delayed a recovery.
const maxUnreportedLogged = 5

// recover ends the time in which runs of a previous owner may continue unreported. It ends
// when every known worker has reported or its runs are known from the store, or when the
// longest lease that the previous owner can have granted must have expired.
func (c *Cell) recover(now time.Time) {
	defer c.recordAccounted(now)
	if !c.recovering {
		return
	}
	c.previousOwnerFenced = c.settings.PreviousOwnerStopped || !c.previousOwnerStoppedAt.IsZero() || !now.Before(c.previousOwnerStopsBy())
	if now.Sub(c.startedAt) >= c.earlierLeaseLimit() || c.allWorkersAccounted() {
		c.logUnreported()
		c.recovering = false
		c.previousOwnerFenced = true
		c.log.WithField("took_ms", now.Sub(c.startedAt).Milliseconds()).Info("recovered")
	}
}

// earlierLeaseLimit returns how long runs of a previous owner may continue without being
// reported to this one. Every owner grants the same lease, the worker's clock may be slow, and
// a previous owner that is still alive may extend leases for some time after it lost its
// ownership.
func (c *Cell) earlierLeaseLimit() time.Duration {
	limit := time.Duration(float64(c.settings.Lease)*(1+maxClockDrift)) + clockEstimateError + expiryMargin
	return limit + c.previousOwnerStopsBy().Sub(c.startedAt)
}

// previousOwnerStopsBy returns when the previous owner gives its last order at the latest.
func (c *Cell) previousOwnerStopsBy() time.Time {
	if c.settings.PreviousOwnerStopped {
		return c.startedAt
	}
	limit := c.startedAt.Add(cmp.Or(c.settings.PreviousOwnerLimit, supersededOwnerLimit))
	for _, at := range []time.Time{c.previousOwnerStoppedAt, c.previousOwnerLimit} {
		if !at.IsZero() && at.Before(limit) {
			limit = at
		}
	}
	return limit
}

// outlastedPreviousOwner reports whether a run existed after the previous owner had given its last
// order, so that the previous owner cannot have started the stages after the run's stage. If a task
// may run twice at once, one of its runs does not show that: the other may have ended before. The
// success of one member of a gang counts for all, so that all members must have existed. A run that may
// be a repetition tells nothing of the owners before its own. A stage that no previous owner can have
// started has only runs of this one.
func (c *Cell) outlastedPreviousOwner(a *attempt) bool {
	s := a.task.stage
	if s.noEarlierRuns {
		return true
	}
	if s.step.AllowDuplicates || !c.repeatsNoRun(a) {
		return false
	}
	if !s.step.Gang {
		return c.seenAfterPreviousOwner(a)
	}
	for _, member := range s.tasks {
		if !slices.ContainsFunc(member.attempts, func(other *attempt) bool { return other.run == a.run && c.seenAfterPreviousOwner(other) }) {
			return false
		}
	}
	return true
}

// seenAfterPreviousOwner reports whether a run is known to have existed after the previous owner had
// given its last order.
func (c *Cell) seenAfterPreviousOwner(a *attempt) bool {
	return !a.lastSeenAt().Before(c.previousOwnerStopsBy())
}

// JobsRead records that all jobs are known that were stored before a read of the store began.
func (c *Cell) JobsRead(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobsReadAt = began
	c.forgetRemoved(began)
}

// PreviousOwnerStopped records that the previous owner sends no more orders from now on, if
// that was not known at the takeover.
func (c *Cell) PreviousOwnerStopped(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.previousOwnerStoppedAt.IsZero() {
		c.previousOwnerStoppedAt = now
	}
}

// PreviousOwnerStopsBy records that the previous owner sends no more orders after the given time.
func (c *Cell) PreviousOwnerStopsBy(limit time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.previousOwnerLimit.IsZero() || limit.Before(c.previousOwnerLimit) {
		c.previousOwnerLimit = limit
	}
}

// logUnreported logs the workers that delayed the recovery.
func (c *Cell) logUnreported() {
	logged := 0
	for _, w := range c.workers {
		if w.mayHaveEarlierRuns() && logged < maxUnreportedLogged {
			logged++
			c.log.WithFields(workerFields(w)).Warn("worker_not_heard")
		}
	}
}

// mayHaveEarlierRuns reports whether a previous owner may have left unaccounted runs on a
// worker.
func (w *worker) mayHaveEarlierRuns() bool { return !w.parked && !w.reported && !w.accounted }

// mayHaveUncountedRuns reports whether runs may exist on a worker that no quota counts.
func (w *worker) mayHaveUncountedRuns() bool {
	return w.mayHaveEarlierRuns() || !w.reported && len(w.uncountedRuns) > 0
}

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

// heldBack reports whether a stage's tasks must wait because a previous owner's runs of them
// may continue unreported. That is not so for jobs accepted under this owner, for stages with a
// predecessor that was not done when the previous owner stopped, and for stages that allow
// duplicates.
func (c *Cell) heldBack(s *stage) bool {
	return c.recovering && s.job.inherited && !s.noEarlierRuns && !s.step.AllowDuplicates
}
