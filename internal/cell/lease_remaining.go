package cell

import "time"

// EndTerm ends this owner's term: it sends no orders from now on. What it stores afterwards
// includes the remaining lease time of unresponsive workers. Without it, each new owner would
// wait for their full leases again.
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

// runsOverBy returns when a worker's runs must have ended if no owner extends its lease.
func (c *Cell) runsOverBy(w *worker) time.Time {
	if w.clockAt.IsZero() {
		return c.earlierRunsUntil(w)
	}
	return w.leaseOverAt()
}

// earlierRunsUntil returns how long runs of previous owners may continue on a worker that has
// not reported to this one.
func (c *Cell) earlierRunsUntil(w *worker) time.Time {
	limit := c.startedAt.Add(c.earlierLeaseLimit())
	if w.earlierLeaseUntil.IsZero() || w.earlierLeaseUntil.After(limit) {
		return limit
	}
	return w.earlierLeaseUntil
}

// restoreLease sets a worker's remaining lease time from its stored entry. It applies only if
// the immediately preceding owner stored it, as any owner in between may have extended the
// lease.
func (c *Cell) restoreLease(w *worker, k KnownWorker, now time.Time) {
	if k.LeaseRemainingMillis == 0 || k.Term+1 != c.settings.Term {
		return
	}
	remaining := time.Duration(k.LeaseRemainingMillis) * time.Millisecond
	w.earlierLeaseUntil = now.Add(time.Duration(float64(remaining) * (1 + maxClockDrift)))
}

// addRemainingLease adds the remaining lease time to a worker's stored entry.
func (c *Cell) addRemainingLease(k *KnownWorker, w *worker) {
	if c.endedAt.IsZero() {
		return
	}
	remaining := max(0, c.runsOverBy(w).Sub(c.endedAt))
	// Round up. 0 is reserved for an owner that did not set it.
	k.LeaseRemainingMillis = remaining.Milliseconds() + 1
	k.Term = c.settings.Term
}
