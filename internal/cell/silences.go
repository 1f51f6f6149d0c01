package cell

import "time"

const (
	// aroundSilence is how far apart workers fall silent that do so for one reason, and
	// how far apart that is noticed.
	aroundSilence = 300 * time.Millisecond
	// mostAround is how many workers at most fall silent at about the same time when tasks
	// end them: one, and one more by another task.
	mostAround = 2
	// silenceKept is how long a silence is kept: until the worker is back, or forgotten.
	silenceKept = 30 * time.Second
)

// silences are when workers fell silent lately.
//
// What can go wrong: a rack loses power, or the network between, and the tasks that were
// starting there look as if each had ended its worker; twice so, and sound jobs are given
// up. It shows as "job_given_up" beside many "worker_silent". So an end in company is taken
// as one that the task did not cause, unless it came as soon as the task began.
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

// withCompany reports whether more workers fell silent at about the same time than tasks
// would have ended.
func (s silences) withCompany(at time.Time) bool {
	n := 0
	for _, t := range s {
		if at.Sub(t).Abs() <= aroundSilence {
			n++
		}
	}
	return n > mostAround
}
