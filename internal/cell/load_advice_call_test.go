package cell

import "time"

// loadAdviceCall is a request for advice in progress.
type loadAdviceCall struct {
	order AdviceOrder
	// quick is set if it occupies a slot for quick calls.
	quick    bool
	answerAt time.Time
}
