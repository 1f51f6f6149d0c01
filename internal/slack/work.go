package slack

import "time"

// safetyFactor multiplies expected durations when work is checked for slack. Estimates are off
// by up to a half, and a stage ends with its slowest task.
const safetyFactor = 1.5

// Work describes the idle tasks of a stage.
type Work struct {
	// Usual is how long one of the tasks takes on a typical worker.
	Usual time.Duration
	// After is how long the stages after this one are expected to take.
	After time.Duration
	// Until is the time left until the job's objective.
	Until time.Duration
}

// On returns how long a task is expected to take on a worker with a run-time factor.
func (w Work) On(factor float64) time.Duration {
	return time.Duration(factor * float64(w.Usual))
}

// HasSlack reports whether the job is in time if the tasks start now on workers with a run-time
// factor, even if everything takes safetyFactor times as long as expected.
func (w Work) HasSlack(factor float64) bool {
	return safetyFactor*float64(w.On(factor)+w.After) <= float64(w.Until)
}
