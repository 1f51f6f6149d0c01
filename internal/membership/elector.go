package membership

import (
	"sync"
	"time"

	"gentianstand/internal/live"
)

// Elector is a process in its part as a witness for others. It is safe for
// concurrent use.
type Elector struct {
	timing  Timing
	session *Session

	mu     sync.Mutex
	fenced map[live.Process]time.Time
}

// NewElector returns an elector that judges by the session's own contact with
// the table.
func NewElector(timing Timing, session *Session) *Elector {
	return &Elector{timing: timing, session: session, fenced: map[live.Process]time.Time{}}
}

// AttestOutage reports whether the table is silent here too and subject is not
// fenced. A process that was replaced vouches for nobody.
func (e *Elector) AttestOutage(subject live.Process, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, fenced := e.fenced[subject]; fenced {
		return false
	}
	return e.session.TableUnresponsive(now)
}

// Fence makes this elector never vouch for subject again. The memory of it
// may go after OutageGrace, when subject has stopped in any case.
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
