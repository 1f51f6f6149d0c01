package job

// State is what a caller is told of a job.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool {
	return s == Completed || s == Failed || s == Cancelled
}
