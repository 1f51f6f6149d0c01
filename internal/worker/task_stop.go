package worker

// TaskStop orders a worker to end, checkpoint or throttle a task.
type TaskStop struct {
	Ref    TaskRef    `json:"ref"`
	Action StopAction `json:"action"`
}
