package runner

// RunState is the state of a run that a worker reports as running.
type RunState struct {
	Task string
	Run  uint64
	// Checkpoint is the last checkpoint, or empty.
	Checkpoint string
	// Percent is the progress that the task reports. For a long-running task, 100 means
	// that it is serving.
	Percent int
	// Gauge is a rough measurement over the last half second: the tail latency in
	// milliseconds for a latency-sensitive task, or the thousandths of a core in use for
	// any other task.
	Gauge float64
}
