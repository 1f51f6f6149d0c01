package cellowner

import (
	"time"

	"gentianstand/internal/adaptivetimeout"
)

// orderTimeoutSettings bounds the wait for the answer to an order. Orders take milliseconds, and
// longer when this instance is short of CPU. An order without an answer delays its whole step
// until it is revoked. A start that timed out counts as an answer that took as long as the
// timeout: on a saturated link all answers take longer than the timeout, and if only answers
// changed it, every start would be sent twice and revoked.
var orderTimeoutSettings = adaptivetimeout.Settings{
	Min: 200 * time.Millisecond, Max: 800 * time.Millisecond, Factor: 15, AnswerWeight: 0.05, TimeoutWeight: 0.05,
}

const (
	// resendFactor times the usual duration, and at least minResendTimeout, is the timeout for an
	// order that can be sent again without harm, at the cost of one call.
	resendFactor     = 8
	minResendTimeout = 60 * time.Millisecond
)
