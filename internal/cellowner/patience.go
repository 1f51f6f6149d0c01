package cellowner

import (
	"time"

	"gentianstand/internal/patience"
)

// orderPatience bounds the wait for the answer to an order. Orders take milliseconds, more
// when this instance is short of processor; one that gets no answer holds its whole step
// up until it is revoked. A start that was given up counts as one that took as long: on a
// full link all answers take longer than the wait, and if only answers taught patience
// every start would be sent twice and revoked.
var orderPatience = patience.Settings{
	Min: 200 * time.Millisecond, Max: 800 * time.Millisecond, Factor: 15, AnswerWeight: 0.05, TimeoutWeight: 0.05,
}

const (
	// briefFactor times the usual duration, and at least briefLeast, is waited for
	// an answer where sending the order again does no harm and costs one call.
	briefFactor = 8
	briefLeast  = 60 * time.Millisecond
)
