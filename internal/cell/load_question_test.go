package cell

import "time"

// loadQuestion is a request for advice in progress.
type loadQuestion struct {
	order AdviceOrder
	// quick is set if it occupies a slot for quick calls.
	quick    bool
	answerAt time.Time
}
