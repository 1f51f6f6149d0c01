package cell

import "time"

// EndTerm takes in that this owner gives no orders any more from now on. What it stores
// after this tells the next owner how long the leases of silent workers still last. They
// would be waited for from the start by each owner otherwise.
func (c *Cell) EndTerm(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedAt = now
	for _, w := range c.workers {
		if !w.parked && (w.clockAt.IsZero() || !w.unresponsiveSince.IsZero()) {
			c.dirtyChunks.mark(w.ID)
		}
	}
}

// runsOverBy returns when the runs on a worker must be over whose lease no owner extends.
func (c *Cell) runsOverBy(w *worker) time.Time {
	if w.clockAt.IsZero() {
		return c.earlierRunsUntil(w)
	}
	return w.leaseOverAt()
}

// earlierRunsUntil returns until when runs of an earlier owner may go on on a worker that this
// one has not heard.
func (c *Cell) earlierRunsUntil(w *worker) time.Time {
	limit := c.startedAt.Add(c.earlierLeaseLimit())
	if w.earlierLeaseUntil.IsZero() || w.earlierLeaseUntil.After(limit) {
		return limit
	}
	return w.earlierLeaseUntil
}

// restoreLease takes in how long the lease of a worker lasts. That holds only if the last
// owner has told it: one after it may have extended the lease.
func (c *Cell) restoreLease(w *worker, k KnownWorker, now time.Time) {
	if k.LeaseRemainingMillis == 0 || k.Term+1 != c.settings.Term {
		return
	}
	remaining := time.Duration(k.LeaseRemainingMillis) * time.Millisecond
	w.earlierLeaseUntil = now.Add(time.Duration(float64(remaining) * (1 + maxClockDrift)))
}

// addRemainingLease adds to what is stored of a worker how long its lease still lasts.
func (c *Cell) addRemainingLease(k *KnownWorker, w *worker) {
	if c.endedAt.IsZero() {
		return
	}
	remaining := max(0, c.runsOverBy(w).Sub(c.endedAt))
	// Rounded up, and never 0, which is for an owner that did not tell.
	k.LeaseRemainingMillis = remaining.Milliseconds() + 1
	k.Term = c.settings.Term
}
