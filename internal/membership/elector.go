package membership

import (
	"sync"
	"time"

	"gentianstand/internal/live"
)

// Elector attests outages of the table to other processes. It is safe for
// concurrent use.
type Elector struct {
	timing  Timing
	session *Session

	mu     sync.Mutex
	fenced map[live.Process]time.Time
}

// NewElector returns an Elector that judges the table's availability by the
// given session's calls.
func NewElector(timing Timing, session *Session) *Elector {
	return &Elector{timing: timing, session: session, fenced: map[live.Process]time.Time{}}
}

// AttestOutage reports whether the table does not answer this process either
// and subject is not fenced. A process that was replaced attests nothing.
func (e *Elector) AttestOutage(subject live.Process, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, fenced := e.fenced[subject]; fenced {
		return false
	}
	return e.session.TableUnresponsive(now)
}

// Fence makes this elector refuse all further attestations to subject. A fence
// is discarded after 2*OutageGrace; subject has certainly stopped after
// OutageGrace.
func (e *Elector) Fence(subject live.Process, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fenced[subject] = now
	for p, at := range e.fenced {
		if now.Sub(at) > 2*e.timing.OutageGrace {
			delete(e.fenced, p)
		}
	}
}
