package cell

import "time"

const (
	// correlatedWithin is how far apart workers fall silent that fail for one reason, and
	// how far apart that is noticed.
	correlatedWithin = 300 * time.Millisecond
	// mostUncorrelated is how many workers at most fall silent at about the same time when
	// poison tasks crash them: one, and one more by another task.
	mostUncorrelated = 2
	// silenceKept is how long a silence is kept: until the worker is back, or forgotten.
	silenceKept = 30 * time.Second
)

// silences are when workers fell silent lately. Correlated failures, as of a rack that
// loses power, are not blamed on the tasks that were starting, unless they came as soon as
// the tasks began.
type silences []time.Time

// add notes a silence, and forgets old ones.
func (s *silences) add(at, now time.Time) {
	kept := (*s)[:0]
	for _, t := range *s {
		if now.Sub(t) < silenceKept {
			kept = append(kept, t)
		}
	}
	*s = append(kept, at)
}

// correlated reports whether more workers fell silent at about a time than poison tasks
// would have crashed.
func (s silences) correlated(at time.Time) bool {
	n := 0
	for _, t := range s {
		if at.Sub(t).Abs() <= correlatedWithin {
			n++
		}
	}
	return n > mostUncorrelated
}
