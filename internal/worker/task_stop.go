package worker

// TaskStop asks a worker to end, pause or slow down a task.
type TaskStop struct {
	Ref    TaskRef    `json:"ref"`
	Action StopAction `json:"action"`
}
