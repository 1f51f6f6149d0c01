// Package adaptivetimeout computes timeouts for calls from the latencies of recent calls.
package adaptivetimeout

import (
	"sync"
	"time"
)

// Timeout derives the timeout of a call from a moving average of latencies. It is safe
// for concurrent use.
type Timeout struct {
	settings Settings

	mu      sync.Mutex
	average time.Duration
}

// New returns a Timeout without any observation.
func New(s Settings) *Timeout { return &Timeout{settings: s} }

// ObserveAnswer records the latency of an answered call.
func (t *Timeout) ObserveAnswer(took time.Duration) { t.observe(took, t.settings.AnswerWeight) }

// ObserveTimeout records a call that timed out after the given time.
func (t *Timeout) ObserveTimeout(after time.Duration) {
	t.observe(after, t.settings.TimeoutWeight)
}

func (t *Timeout) observe(to time.Duration, weight float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.average += time.Duration(weight * float64(to-t.average))
}

// Limit returns the timeout for the next call.
func (t *Timeout) Limit() time.Duration {
	return t.LimitWith(t.settings.Factor, t.settings.Min)
}

// LimitWith returns the timeout for a given factor and minimum in place of those in the
// settings: factor times the average latency, at least least and at most Settings.Max.
func (t *Timeout) LimitWith(factor float64, minimum time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(max(time.Duration(factor*float64(t.average)), minimum), t.settings.Max)
}
