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
		if !w.parked && (w.clockAt.IsZero() || !w.failingAt.IsZero()) {
			c.known.changed(w.ID)
		}
	}
}

// runsOverAt returns when the runs on a worker must be over whose lease no owner extends.
func (c *Cell) runsOverAt(w *worker) time.Time {
	if w.clockAt.IsZero() {
		return c.unseenUntil(w)
	}
	return w.leaseOver()
}

// unseenUntil returns until when runs of an earlier owner may go on on a worker that this
// one has not heard.
func (c *Cell) unseenUntil(w *worker) time.Time {
	limit := c.began.Add(c.unseenLimit())
	if w.inheritedUntil.IsZero() || w.inheritedUntil.After(limit) {
		return limit
	}
	return w.inheritedUntil
}

// inheritLease takes in how long the lease of a worker lasts. That holds only if the last
// owner has told it: one after it may have extended the lease.
func (c *Cell) inheritLease(w *worker, k KnownWorker, now time.Time) {
	if k.LeaseRemainingMillis == 0 || k.Term+1 != c.settings.Term {
		return
	}
	left := time.Duration(k.LeaseRemainingMillis) * time.Millisecond
	w.inheritedUntil = now.Add(time.Duration(float64(left) * (1 + clockDrift)))
}

// tellLease adds to what is stored of a worker how long its lease still lasts.
func (c *Cell) tellLease(k *KnownWorker, w *worker) {
	if c.endedAt.IsZero() {
		return
	}
	left := max(0, c.runsOverAt(w).Sub(c.endedAt))
	// Rounded up, and never 0, which is for an owner that did not tell.
	k.LeaseRemainingMillis = left.Milliseconds() + 1
	k.Term = c.settings.Term
}
