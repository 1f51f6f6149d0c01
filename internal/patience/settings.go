package patience

import "time"

// Settings are the figures of a Patience.
type Settings struct {
	// Min and Max bound the wait.
	Min, Max time.Duration
	// Factor times the usual duration of an answer is waited.
	Factor float64
	// AnswerWeight is the weight of the newest answer in the usual duration, from 0
	// to 1; TimeoutWeight that of a call that was given up.
	AnswerWeight, TimeoutWeight float64
}
