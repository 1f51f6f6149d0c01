package run

// TaskState is the state of a task.
type TaskState string

// The states of a task.
const (
	// TaskPending means that no attempt is running or may be running.
	TaskPending TaskState = "pending"
	// TaskAssigned means that an attempt is running or may be running.
	TaskAssigned  TaskState = "assigned"
	TaskSucceeded TaskState = "succeeded"
	TaskFailed    TaskState = "failed"
	TaskCancelled TaskState = "cancelled"
	// TaskUnknown means that an attempt may or may not have completed and must
	// not be repeated.
	TaskUnknown TaskState = "may_have_run"
)

// Final reports whether the task will not run again.
func (s TaskState) Final() bool { return s != TaskPending && s != TaskAssigned }
