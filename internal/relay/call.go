package relay

import (
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/runner"
)

// call is a pending request on a link.
type call struct {
	request
	worker runner.Target
	// workerIDs are the ids of the workers in a request to the adviser.
	workerIDs []string
	// queuedAt is when the call was queued on the link; deadline is when its caller stops
	// waiting, or zero if the caller has stopped before the frame was written.
	queuedAt, deadline time.Time
	// written reports that the frame was encoded and may have reached the relay.
	written bool
	result  chan result
}

// result is the outcome of a call.
type result struct {
	answer  runner.Answer
	report  runner.Report
	tickets []advice.Ticket
	err     error
}
