package preemption

import "time"

// restartDelay is the time that a stopped run usually waits for its next start and takes to
// resume from its checkpoint. Restores take 0.1 to 0.6 s.
const restartDelay = time.Second

// Stop describes the stop of a run.
type Stop struct {
	// Cores is the number of processors that the run occupies.
	Cores float64
	// SinceCheckpoint is the run time that the stop loses, and Takes how long it takes.
	SinceCheckpoint, Takes time.Duration
	// Slack is how long the run's job may be delayed without becoming late. It is negative if the
	// job is late already.
	Slack time.Duration
	// JobWork is the work of its job, in processor-seconds.
	JobWork float64
}

// Lost returns the processor-seconds that the stop loses. A job that becomes late by it counts with
// all its work.
func (s *Stop) Lost() float64 {
	lost := s.Cores * (s.SinceCheckpoint + s.Takes).Seconds()
	if s.Slack >= 0 && s.Slack < s.SinceCheckpoint+s.Takes+restartDelay {
		return lost + s.JobWork
	}
	return lost
}
