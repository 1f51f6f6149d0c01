// Package fairness tells which of the jobs of a workspace are within its share. It is pure.
//
// Weights are shares when there is not enough for all: a workspace that sends many times its
// usual must not make the others wait. Its jobs beyond its share are done when there is room.
package fairness

import "time"

// TokenBucket measures the jobs of one workspace against its share of jobs a second. The zero
// value is that of a workspace that has sent nothing.
type TokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// Take takes in a job that was accepted at a time and reports whether it is within a share
// of rate jobs a second, of which those of the last second may come at once. A share of 0 is
// no limit. Jobs have to come in the order of their times; one that does not counts as of the
// time of the one before.
func (b *TokenBucket) Take(rate float64, at time.Time) bool {
	if rate <= 0 {
		return true
	}
	most := max(rate, 1)
	switch {
	case b.refilledAt.IsZero():
		b.tokens, b.refilledAt = most, at
	case at.After(b.refilledAt):
		b.tokens = min(most, b.tokens+rate*at.Sub(b.refilledAt).Seconds())
		b.refilledAt = at
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
