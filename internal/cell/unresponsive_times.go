package cell

import "time"

const (
	// correlationWindow is how far apart workers fall silent that fail for one reason, and
	// how far apart that is noticed.
	correlationWindow = 300 * time.Millisecond
	// maxUncorrelated is how many workers at most fall silent at about the same time when
	// poison tasks crash them: one, and one more by another task.
	maxUncorrelated = 2
	// keepUnresponsive is how long a silence is kept: until the worker is back, or forgotten.
	keepUnresponsive = 30 * time.Second
)

// unresponsiveTimes are when workers fell silent lately. Correlated failures, as of a rack that
// loses power, are not blamed on the tasks that were starting, unless they came as soon as
// the tasks began.
type unresponsiveTimes []time.Time

// add notes a silence, and forgets old ones.
func (u *unresponsiveTimes) add(at, now time.Time) {
	kept := (*u)[:0]
	for _, t := range *u {
		if now.Sub(t) < keepUnresponsive {
			kept = append(kept, t)
		}
	}
	*u = append(kept, at)
}

// correlated reports whether more workers fell silent at about a time than poison tasks
// would have crashed.
func (u unresponsiveTimes) correlated(at time.Time) bool {
	n := 0
	for _, t := range u {
		if at.Sub(t).Abs() <= correlationWindow {
			n++
		}
	}
	return n > maxUncorrelated
}
