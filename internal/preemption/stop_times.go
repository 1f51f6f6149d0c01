package preemption

import "time"

const (
	// stopTimeWeight is the weight of the newest stop in the mean, so that about the last 20 stops
	// count.
	stopTimeWeight = 0.05
	// initialGraceShare is the share of the grace period that a stop is expected to take before
	// any was measured. A long initial time would forbid the stops that correct it.
	initialGraceShare = 0.25
)

// StopTimes estimates how long a run takes to end after its stop was ordered. The zero value has
// measured nothing.
type StopTimes struct{ mean time.Duration }

// Add records the time that a stop took.
func (s *StopTimes) Add(took time.Duration) {
	if s.mean == 0 {
		s.mean = took
		return
	}
	s.mean += time.Duration(stopTimeWeight * float64(took-s.mean))
}

// Expected returns the expected time of a stop where the grace period is grace.
func (s *StopTimes) Expected(grace time.Duration) time.Duration {
	if s.mean == 0 {
		return time.Duration(initialGraceShare * float64(grace))
	}
	return min(s.mean, grace)
}
