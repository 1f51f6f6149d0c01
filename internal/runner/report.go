package runner

import "time"

// MaxReportedEnds is how many ended runs a worker reports at a time, oldest first. The rest
// follow once those are acknowledged.
const MaxReportedEnds = 500

// Report is a worker's answer to a poll.
type Report struct {
	// Incarnation identifies the incarnation that answered.
	Incarnation Incarnation
	// Clock is the worker's monotonic clock at the time of the answer.
	Clock   time.Duration
	Running []RunState
	Ended   []End
}
