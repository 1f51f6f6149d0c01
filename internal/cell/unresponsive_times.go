package cell

import "time"

const (
	// correlationWindow is the largest time between the failures of workers with a common
	// cause, including differences in when the failures are noticed.
	correlationWindow = 300 * time.Millisecond
	// maxUncorrelated is the largest number of workers that become unresponsive at about the
	// same time because of poison tasks: one, and one more by another task.
	maxUncorrelated = 2
	// keepUnresponsive is how long an entry is kept: until the worker is back or forgotten.
	keepUnresponsive = 30 * time.Second
)

// unresponsiveTimes records when workers became unresponsive recently. Correlated failures,
// such as a rack that loses power, are not blamed on the tasks that were starting, unless they
// came immediately after the tasks began.
type unresponsiveTimes []time.Time

// add records an entry and drops old ones.
func (u *unresponsiveTimes) add(at, now time.Time) {
	kept := (*u)[:0]
	for _, t := range *u {
		if now.Sub(t) < keepUnresponsive {
			kept = append(kept, t)
		}
	}
	*u = append(kept, at)
}

// correlated reports whether more workers became unresponsive at about the given time than
// poison tasks would have crashed.
func (u unresponsiveTimes) correlated(at time.Time) bool {
	n := 0
	for _, t := range u {
		if at.Sub(t).Abs() <= correlationWindow {
			n++
		}
	}
	return n > maxUncorrelated
}
