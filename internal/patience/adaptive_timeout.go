// Package patience computes timeouts for calls from the latencies of recent calls.
package patience

import (
	"sync"
	"time"
)

// AdaptiveTimeout derives the timeout of a call from a moving average of latencies. It is safe
// for concurrent use.
type AdaptiveTimeout struct {
	settings Settings

	mu      sync.Mutex
	average time.Duration
}

// New returns an AdaptiveTimeout without any observation.
func New(s Settings) *AdaptiveTimeout { return &AdaptiveTimeout{settings: s} }

// ObserveAnswer records the latency of an answered call.
func (t *AdaptiveTimeout) ObserveAnswer(took time.Duration) { t.observe(took, t.settings.AnswerWeight) }

// ObserveTimeout records a call that timed out after the given time.
func (t *AdaptiveTimeout) ObserveTimeout(after time.Duration) {
	t.observe(after, t.settings.TimeoutWeight)
}

func (t *AdaptiveTimeout) observe(to time.Duration, weight float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.average += time.Duration(weight * float64(to-t.average))
}

// Limit returns the timeout for the next call.
func (t *AdaptiveTimeout) Limit() time.Duration {
	return t.LimitWith(t.settings.Factor, t.settings.Min)
}

// LimitWith returns the timeout for a given factor and minimum in place of those in the
// settings: factor times the average latency, at least least and at most Settings.Max.
func (t *AdaptiveTimeout) LimitWith(factor float64, minimum time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(max(time.Duration(factor*float64(t.average)), minimum), t.settings.Max)
}
