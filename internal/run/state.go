// Package run defines the records of runs and their tasks, which the planner
// stores in the table and returns to callers.
package run

// State is the state of a run.
type State string

// The states of a run.
const (
	Waiting   State = "waiting"
	Running   State = "running"
	Stopping  State = "stopping"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the run has ended.
func (s State) Final() bool { return s == Succeeded || s == Failed || s == Cancelled }
