package job

// State is the state of a job as the API reports it.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state is terminal.
func (s State) Final() bool {
	return s == Completed || s == Failed || s == Cancelled
}
