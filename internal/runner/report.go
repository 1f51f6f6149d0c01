package runner

import "time"

// Report is a worker's answer to a look.
type Report struct {
	// Born names the incarnation that answers.
	Born Born
	// Clock is the worker's own steady clock at the time of the answer.
	Clock   time.Duration
	Running []RunState
	Ended   []End
}
