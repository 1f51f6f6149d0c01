package patience

import "time"

// Settings are the figures of a Patience.
type Settings struct {
	// Least and Most bound the wait.
	Least, Most time.Duration
	// Factor times the usual duration of an answer is waited.
	Factor float64
	// AnswerWeight is the weight of the newest answer in the usual duration, from 0
	// to 1; SilenceWeight that of a call that was given up.
	AnswerWeight, SilenceWeight float64
}
