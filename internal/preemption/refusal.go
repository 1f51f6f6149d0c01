package preemption

// Refusal is why no runs are stopped for a demand.
type Refusal string

const (
	// OverShare means that the job is beyond the share of its workspace.
	OverShare Refusal = "over_share"
	// TooLate means that the tasks would be late even if capacity became free by a stop.
	TooLate Refusal = "too_late"
	// Saturated means that urgent work alone exceeds the capacity of the workers.
	Saturated Refusal = "urgent_exceeds_capacity"
	// TooCostly means that more work would be lost than saved, or that too few runs can be stopped
	// for all tasks, so that the job would be late anyway.
	TooCostly Refusal = "too_costly"
)

// Refusals lists all reasons.
var Refusals = []Refusal{OverShare, TooLate, Saturated, TooCostly}
