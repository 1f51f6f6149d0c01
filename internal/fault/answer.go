package fault

import "time"

// Answer is what a caller is told for one kind of error.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Outcome states whether the work was executed.
	Outcome Outcome
	// RetryAfter is when to come back; zero means that repeating the same
	// request will not help.
	RetryAfter time.Duration
	// Meaning is one sentence for the documentation.
	Meaning string
}
