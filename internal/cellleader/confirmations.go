package cellleader

import (
	"sync"
	"time"
)

// confirmations records the recent confirmations of an ownership, by the store and by other
// instances. Without the store, more than half of all instances must have confirmed it, the owner
// included: two instances that are cut off together must not confirm each other while the others
// have a new owner.
type confirmations struct {
	mu sync.Mutex
	// claimVerifiedAt is the start of the last read of the store that found the claim unchanged.
	claimVerifiedAt time.Time
	// askedAt holds, for each instance that answered that it knows of no later owner, when it was
	// asked last. A ping of an instance confirms nothing, because it may arrive late.
	askedAt map[string]time.Time
	// suspensions returns the total duration for which the machine was suspended, and suspended is
	// its last value. Confirmations from before resumedAt do not count: they appear recent, because
	// the clock stops during a suspension.
	suspensions func() time.Duration
	suspended   time.Duration
	resumedAt   time.Time
}

func newConfirmations(now time.Time) *confirmations {
	return &confirmations{claimVerifiedAt: now, askedAt: map[string]time.Time{}, suspensions: noSuspensions}
}

func noSuspensions() time.Duration { return 0 }

// measureSuspensions sets the source of the total duration of suspensions. Those before the call do
// not count.
func (c *confirmations) measureSuspensions(total func() time.Duration) {
	c.suspensions, c.suspended = total, total()
}

// discardIfSuspended discards all confirmations if the machine was suspended. The caller holds
// c.mu.
func (c *confirmations) discardIfSuspended(now time.Time) {
	total := c.suspensions()
	if total-c.suspended < minSuspension {
		return
	}
	c.suspended, c.resumedAt = total, now
	c.claimVerifiedAt = time.Time{}
	clear(c.askedAt)
}

// claimVerified records that a read of the store that began at startedAt found this ownership.
func (c *confirmations) claimVerified(startedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if startedAt.After(c.claimVerifiedAt) && !startedAt.Before(c.resumedAt) {
		c.claimVerifiedAt = startedAt
	}
}

// answered records that an instance, asked at a given time, knows this ownership and no later one.
func (c *confirmations) answered(instance string, askedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if askedAt.After(c.askedAt[instance]) && !askedAt.Before(c.resumedAt) {
		c.askedAt[instance] = askedAt
	}
}

// needAnswers reports whether the last read of the claim was so long ago that the ownership will
// soon depend on the answers of other instances.
func (c *confirmations) needAnswers(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.claimVerifiedAt) >= askAfter
}

// valid reports whether the ownership is confirmed. others returns the number of other instances,
// and linked those that confirmed the ownership over a link since a given time.
func (c *confirmations) valid(others func() int, linked func(since time.Time) []string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discardIfSuspended(now)
	if now.Sub(c.claimVerifiedAt) < confirmationTTL {
		return true
	}
	since := now.Add(-confirmationTTL)
	if since.Before(c.resumedAt) {
		since = c.resumedAt
	}
	recent := map[string]struct{}{}
	for _, name := range linked(since) {
		recent[name] = struct{}{}
	}
	for name, at := range c.askedAt {
		if now.Sub(at) >= confirmationTTL {
			delete(c.askedAt, name)
			continue
		}
		recent[name] = struct{}{}
	}
	return len(recent) > 0 && 2*(len(recent)+1) > others()+1
}
