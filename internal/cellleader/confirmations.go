package cellleader

import (
	"sync"
	"time"
)

// confirmations tell whether an ownership holds, as far as others have told lately.
// Without the store more than half of all instances have to be heard, counting the owner:
// two that are cut off together must not confirm one another while the others have a new
// owner.
type confirmations struct {
	mu sync.Mutex
	// claimAt is when the store last said that the claim holds.
	claimAt time.Time
	// heard is when other instances last asked as ones that know of no later owner.
	heard map[string]time.Time
}

func newConfirmations(now time.Time) *confirmations {
	return &confirmations{claimAt: now, heard: map[string]time.Time{}}
}

// claimHeld takes in that the store was asked at a time and named this ownership.
func (c *confirmations) claimHeld(asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asked.After(c.claimAt) {
		c.claimAt = asked
	}
}

// heardFrom takes in a ping of an instance that knows this ownership.
func (c *confirmations) heardFrom(instance string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard[instance] = now
}

// hold reports whether the ownership holds. others counts the other instances; linked
// returns those that confirmed it over a link since some time.
func (c *confirmations) hold(others func() int, linked func(since time.Time) []string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.claimAt) < confirmedFor {
		return true
	}
	for _, name := range linked(now.Add(-confirmedFor)) {
		if _, pinged := c.heard[name]; !pinged {
			// As old as it may be: the next time it is asked for again.
			c.heard[name] = now.Add(-confirmedFor + 1)
		}
	}
	heard := 0
	for name, at := range c.heard {
		if now.Sub(at) >= confirmedFor {
			delete(c.heard, name)
			continue
		}
		heard++
	}
	return heard > 0 && 2*(heard+1) > others()+1
}
