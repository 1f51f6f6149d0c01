// Package patience tells how long to wait for the answer to a call from how long
// answers have lately taken.
package patience

import (
	"sync"
	"time"
)

// AdaptiveTimeout is safe for concurrent use.
type AdaptiveTimeout struct {
	settings Settings

	mu      sync.Mutex
	average time.Duration
}

// New returns a Patience that knows of no answer yet.
func New(s Settings) *AdaptiveTimeout { return &AdaptiveTimeout{settings: s} }

// ObserveAnswer takes in how long an answer took.
func (t *AdaptiveTimeout) ObserveAnswer(took time.Duration) { t.observe(took, t.settings.AnswerWeight) }

// ObserveTimeout takes in after which time a call was given up.
func (t *AdaptiveTimeout) ObserveTimeout(after time.Duration) {
	t.observe(after, t.settings.TimeoutWeight)
}

func (t *AdaptiveTimeout) observe(to time.Duration, weight float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.average += time.Duration(weight * float64(to-t.average))
}

// Limit returns how long to wait.
func (t *AdaptiveTimeout) Limit() time.Duration {
	return t.LimitWith(t.settings.Factor, t.settings.Min)
}

// LimitWith returns factor times what answers usually take, at least least.
func (t *AdaptiveTimeout) LimitWith(factor float64, least time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(max(time.Duration(factor*float64(t.average)), least), t.settings.Max)
}
