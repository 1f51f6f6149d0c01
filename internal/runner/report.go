package runner

import "time"

// MaxReportedEnds is how many ends a worker lists at a time, the oldest first. The others follow
// when those are acknowledged.
const MaxReportedEnds = 500

// Report is a worker's answer to a look.
type Report struct {
	// Incarnation names the incarnation that answers.
	Incarnation Incarnation
	// Clock is the worker's own steady clock at the time of the answer.
	Clock   time.Duration
	Running []RunState
	Ended   []End
}
