package adaptivetimeout

import "time"

// Settings are the parameters of a Timeout.
type Settings struct {
	// Min and Max bound the timeout.
	Min, Max time.Duration
	// Factor is the timeout as a multiple of the average latency.
	Factor float64
	// AnswerWeight is the weight of a new latency in the average, from 0 to 1. TimeoutWeight is
	// the weight of the duration of a call that timed out.
	AnswerWeight, TimeoutWeight float64
}
