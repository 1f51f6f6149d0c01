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

	mu    sync.Mutex
	usual time.Duration
}

// New returns a Patience that knows of no answer yet.
func New(s Settings) *AdaptiveTimeout { return &AdaptiveTimeout{settings: s} }

// ObserveAnswer takes in how long an answer took.
func (p *AdaptiveTimeout) ObserveAnswer(took time.Duration) { p.move(took, p.settings.AnswerWeight) }

// ObserveTimeout takes in after which time a call was given up.
func (p *AdaptiveTimeout) ObserveTimeout(after time.Duration) {
	p.move(after, p.settings.TimeoutWeight)
}

func (p *AdaptiveTimeout) move(to time.Duration, weight float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usual += time.Duration(weight * float64(to-p.usual))
}

// Limit returns how long to wait.
func (p *AdaptiveTimeout) Limit() time.Duration {
	return p.LimitWith(p.settings.Factor, p.settings.Min)
}

// LimitWith returns factor times what answers usually take, at least least.
func (p *AdaptiveTimeout) LimitWith(factor float64, least time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(time.Duration(factor*float64(p.usual)), least), p.settings.Max)
}
