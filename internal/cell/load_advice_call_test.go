package cell

import "time"

// loadAdviceCall is a request for advice in progress.
type loadAdviceCall struct {
	order AdviceOrder
	// slot is the slot that it occupies.
	slot     AdviceSlots
	answerAt time.Time
}
