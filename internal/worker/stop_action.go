package worker

// StopAction selects how a worker stops or slows down a running task.
type StopAction string

// The actions on a running task.
const (
	// Drain lets requests in progress finish, then ends the task.
	Drain StopAction = "drain"
	// Checkpoint saves the task's progress, then ends the task.
	Checkpoint StopAction = "checkpoint"
	// Throttle limits the task to its declared resources.
	Throttle StopAction = "throttle"
	// Kill ends the task immediately.
	Kill StopAction = "kill"
)
