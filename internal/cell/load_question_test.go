package cell

import "time"

// loadQuestion is a question to the adviser under way.
type loadQuestion struct {
	order AdviceOrder
	// quick says that it took a lane for quick calls.
	quick    bool
	answerAt time.Time
}
