package cell

import "time"

// verdict is what the adviser said of one worker for a stage.
type verdict struct {
	// life is the incarnation of the worker that it was given for.
	life   *life
	good   bool
	ticket string
	until  time.Time
}

// adviceBook is what a stage knows from the placement adviser.
type adviceBook struct {
	verdicts map[*worker]verdict
	asking   bool
	// retryAt is set after a failed call.
	retryAt time.Time
}

// about returns what the adviser said of a worker's present incarnation.
func (b *adviceBook) about(w *worker) (v verdict, known bool) {
	v, known = b.verdicts[w]
	if !known || v.life != w.life {
		return verdict{}, false
	}
	return v, true
}

// allows reports whether a worker has a ticket that is valid until later than until.
func (b *adviceBook) allows(w *worker, until time.Time) bool {
	v, _ := b.about(w)
	return v.good && until.Before(v.until)
}

// expire makes the stage ask about a worker again before using it.
func (b *adviceBook) expire(w *worker) {
	v := b.verdicts[w]
	v.until = time.Time{}
	b.verdicts[w] = v
}
