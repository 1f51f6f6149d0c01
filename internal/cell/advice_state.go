package cell

import "time"

// verdict is the adviser's answer about one worker for a stage.
type verdict struct {
	// incarnation is the worker incarnation to which the verdict applies.
	incarnation *incarnationState
	// approved is true if the worker may run the stage.
	approved bool
	// ticket proves the approval to the worker until expiresAt.
	ticket    string
	expiresAt time.Time
}

// adviceState holds a stage's verdicts and the state of its adviser call.
type adviceState struct {
	verdicts map[*worker]verdict
	pending  bool
	// retryAt is the earliest time for the next call after a failure.
	retryAt time.Time
}

// verdictFor returns the verdict on a worker's current incarnation.
func (s *adviceState) verdictFor(w *worker) (v verdict, known bool) {
	v, known = s.verdicts[w]
	if !known || v.incarnation != w.incarnationState {
		return verdict{}, false
	}
	return v, true
}

// allows reports whether the stage holds a ticket for a worker, and the ticket expires after
// until.
func (s *adviceState) allows(w *worker, until time.Time) bool {
	v, _ := s.verdictFor(w)
	return v.approved && until.Before(v.expiresAt)
}

// expire invalidates a worker's ticket, so that the stage requests a new one before it uses
// the worker.
func (s *adviceState) expire(w *worker) {
	v := s.verdicts[w]
	v.expiresAt = time.Time{}
	s.verdicts[w] = v
}
