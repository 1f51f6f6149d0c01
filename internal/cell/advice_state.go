package cell

import "time"

// verdict is what the adviser said of one worker for a stage.
type verdict struct {
	// incarnation is the incarnation of the worker that it was given for.
	incarnation *incarnationState
	good        bool
	ticket      string
	until       time.Time
}

// adviceState is what a stage knows from the placement adviser.
type adviceState struct {
	verdicts map[*worker]verdict
	pending  bool
	// retryAt is set after a failed call.
	retryAt time.Time
}

// verdictFor returns what the adviser said of a worker's present incarnation.
func (s *adviceState) verdictFor(w *worker) (v verdict, known bool) {
	v, known = s.verdicts[w]
	if !known || v.incarnation != w.incarnationState {
		return verdict{}, false
	}
	return v, true
}

// allows reports whether a worker has a ticket that is valid until later than until.
func (s *adviceState) allows(w *worker, until time.Time) bool {
	v, _ := s.verdictFor(w)
	return v.good && until.Before(v.until)
}

// expire makes the stage ask about a worker again before using it.
func (s *adviceState) expire(w *worker) {
	v := s.verdicts[w]
	v.until = time.Time{}
	s.verdicts[w] = v
}
