package worker

// TaskState is the state of an attempt on its worker.
type TaskState string

// The states of an attempt on a worker.
const (
	Running   TaskState = "running"
	Succeeded TaskState = "succeeded"
	Failed    TaskState = "failed"
	// Stopped means that the attempt was ended on request before its work was complete.
	Stopped TaskState = "stopped"
	// Refused means that the attempt was never started.
	Refused TaskState = "refused"
)

// Ended reports whether the attempt no longer uses resources of the worker.
func (s TaskState) Ended() bool { return s != Running }
