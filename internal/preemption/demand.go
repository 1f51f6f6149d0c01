package preemption

import "time"

// Demand describes the tasks of one stage that found no free capacity.
type Demand struct {
	// Tasks is the number of tasks that get no capacity from runs that end by themselves.
	Tasks int
	// Slack is the time until the tasks must start for their job to be in time.
	Slack time.Duration
	// Budget is what may still be lost for the stage, in processor-seconds.
	Budget float64
	// OverShare is set if the job is beyond the share of its workspace and other workspaces have
	// work.
	OverShare bool
	// Saturated is set if urgent work alone needs more than the capacity of all workers.
	Saturated bool
}

// lateShare is the share of the expected time of a stop that a demand's slack must exceed. Many stops
// take half as long as the mean, and expected run times are off by up to a half.
const lateShare = 0.5

// Refusal returns why no run may be stopped for the demand, whichever runs there are, or "". stop
// is how long a run takes to end after its stop was ordered.
func (d *Demand) Refusal(stop time.Duration) Refusal {
	switch {
	case d.OverShare:
		return OverShare
	case d.Slack < time.Duration(lateShare*float64(stop)):
		return TooLate
	case d.Saturated:
		return Saturated
	case d.Budget <= 0:
		return TooCostly
	}
	return ""
}
