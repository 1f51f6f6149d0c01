// Package patience tells how long to wait for the answer to a call from how long
// answers have lately taken.
package patience

import (
	"sync"
	"time"
)

// Patience is safe for concurrent use.
type Patience struct {
	settings Settings

	mu    sync.Mutex
	usual time.Duration
}

// New returns a Patience that knows of no answer yet.
func New(s Settings) *Patience { return &Patience{settings: s} }

// Answered takes in how long an answer took.
func (p *Patience) Answered(took time.Duration) { p.move(took, p.settings.AnswerWeight) }

// GaveUp takes in after which time a call was given up.
func (p *Patience) GaveUp(after time.Duration) { p.move(after, p.settings.SilenceWeight) }

func (p *Patience) move(to time.Duration, weight float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usual += time.Duration(weight * float64(to-p.usual))
}

// Limit returns how long to wait.
func (p *Patience) Limit() time.Duration { return p.Within(p.settings.Factor, p.settings.Least) }

// Within returns factor times what answers usually take, at least least.
func (p *Patience) Within(factor float64, least time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(time.Duration(factor*float64(p.usual)), least), p.settings.Most)
}
