package worker

// TaskState is where one attempt stands on its worker.
type TaskState string

// The states of an attempt on a worker.
const (
	Running   TaskState = "running"
	Succeeded TaskState = "succeeded"
	Failed    TaskState = "failed"
	// Stopped means ended on request; the work was not completed.
	Stopped TaskState = "stopped"
	// Refused means never started.
	Refused TaskState = "refused"
)

// Ended reports whether the attempt no longer uses the worker.
func (s TaskState) Ended() bool { return s != Running }
