package worker

// StopAction is what to do to a running task.
type StopAction string

// The actions a worker can take on a running task.
const (
	// Drain lets requests in progress finish, then ends the task.
	Drain StopAction = "drain"
	// Checkpoint saves the task's progress, then ends it.
	Checkpoint StopAction = "checkpoint"
	// Throttle limits the task to its declared size.
	Throttle StopAction = "throttle"
	// Kill ends the task at once.
	Kill StopAction = "kill"
)
