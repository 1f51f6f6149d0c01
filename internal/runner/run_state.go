package runner

// RunState is one run that a worker reports as going on.
type RunState struct {
	Task string
	Run  uint64
	// Checkpoint is the last checkpoint, or empty.
	Checkpoint string
	// Percent is how far the task says it is. For a task that lasts, 100 means
	// that it serves.
	Percent int
	// Gauge is a rough figure for the last half second: the tail of response
	// times in milliseconds for a task that serves, thousandths of a core in
	// use for any other.
	Gauge float64
}
