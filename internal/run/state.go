// Package run holds the records of runs and their tasks: what the planner
// keeps in the table and callers see.
package run

// State is where a run stands.
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

// Final reports whether the run is over.
func (s State) Final() bool { return s == Succeeded || s == Failed || s == Cancelled }
