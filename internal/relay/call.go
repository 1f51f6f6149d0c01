package relay

import (
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/runner"
)

// call is a request under way on a link.
type call struct {
	request
	worker runner.Target
	// workerIDs are the ids of the workers of a question to the adviser.
	workerIDs []string
	// queuedAt is when it was handed to the link; deadline is when its caller gives up.
	queuedAt, deadline time.Time
	// written says that its frame was encoded, and may have reached the relay.
	written bool
	result  chan result
}

// result is what a call ended with.
type result struct {
	answer  runner.Answer
	report  runner.Report
	tickets []advice.Ticket
	err     error
}
