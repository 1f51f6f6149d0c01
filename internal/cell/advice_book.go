package cell

import "time"

// verdict is what the adviser said of one worker for a stage.
type verdict struct {
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

// expire makes the stage ask about a worker again before using it.
func (b *adviceBook) expire(w *worker) {
	v := b.verdicts[w]
	v.until = time.Time{}
	b.verdicts[w] = v
}
