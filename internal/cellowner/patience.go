package cellowner

import (
	"time"

	"gentianstand/internal/patience"
)

// orderPatience bounds the wait for the answer to an order. Orders take milliseconds,
// more when this instance is short of processor.
//
// Load pattern: for some seconds a few percent of the orders are carried out
// late and not answered. A step of many tasks then often has one such order, and all
// of the step waits for it. A wait that follows what answers usually take revokes the
// order, and starts the task elsewhere, in time.
//
// A start that was given up counts as one that took as long. What can go wrong: the link
// of a small machine is full, and all answers take longer than the wait. If only answers
// taught patience, every start would be sent twice and then revoked, on the same link, for
// as long as the load lasts. It shows as start_unanswered for most starts.
var orderPatience = patience.Settings{
	Least: 200 * time.Millisecond, Most: 800 * time.Millisecond, Factor: 15, AnswerWeight: 0.05, SilenceWeight: 0.05,
}

const (
	// briefFactor times the usual duration, and at least briefLeast, is waited for
	// an answer where sending the order again does no harm and costs one call.
	briefFactor = 8
	briefLeast  = 60 * time.Millisecond
)
