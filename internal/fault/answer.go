package fault

import "time"

// Answer is the response to a caller for one kind of error.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Outcome is whether the work was executed.
	Outcome Outcome
	// RetryAfter is the retry delay; zero means that repeating the same request will not help.
	RetryAfter time.Duration
	// Meaning is one sentence for the documentation.
	Meaning string
}
