// Package fairness decides which jobs of a workspace are within its fair share. It performs no
// I/O.
//
// Shares apply under contention: a workspace that submits many times its usual load must not
// delay the others. Its jobs beyond the share run when capacity is left.
package fairness

import (
	"cmp"
	"time"
)

// ShareDepth is the Depth of a bucket that decides which jobs are refused. Jobs arrive at random:
// with the tokens of 1 second, a workspace that sends 0.8 of its share is beyond it with a third of
// its jobs.
const ShareDepth = 4 * time.Second

// TokenBucket measures the jobs of one workspace against its share in jobs per second. The zero
// value is ready to use, for a workspace that has not submitted any job.
type TokenBucket struct {
	// Depth is the time of which the bucket holds the tokens; 0 means 1 second.
	Depth      time.Duration
	tokens     float64
	refilledAt time.Time
}

// Take records a job that was accepted at the given time and reports whether it is within a
// share of rate jobs per second. The bucket holds the tokens of Depth, at least 1 token, so
// that many jobs may arrive at once. A rate of 0 means no limit. Calls must be in order of
// time; a job with an earlier time than its predecessor counts as accepted at the predecessor's
// time.
func (b *TokenBucket) Take(rate float64, at time.Time) bool {
	if rate <= 0 {
		return true
	}
	b.tokens = b.Left(rate, at)
	if at.After(b.refilledAt) {
		b.refilledAt = at
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns how many jobs are within the share at a time.
func (b *TokenBucket) Left(rate float64, at time.Time) float64 {
	depth := cmp.Or(b.Depth, time.Second)
	return Refilled(b.leftBefore(rate, depth), rate, depth, at.Sub(b.refilledAt))
}

func (b *TokenBucket) leftBefore(rate float64, depth time.Duration) float64 {
	if b.refilledAt.IsZero() {
		return FullJobs(rate, depth)
	}
	return b.tokens
}

// Refilled returns the tokens of a bucket some time after it had the given tokens.
func Refilled(tokens, rate float64, depth, after time.Duration) float64 {
	return min(FullJobs(rate, depth), tokens+rate*max(0, after).Seconds())
}

// FullJobs returns the tokens of a full bucket.
func FullJobs(rate float64, depth time.Duration) float64 { return max(rate*depth.Seconds(), 1) }
