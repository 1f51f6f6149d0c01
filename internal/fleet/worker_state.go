// Package fleet defines the messages between the planner, which decides where
// tasks run, and the owners of workers, which run them.
package fleet

// WorkerState is the state of a worker as its owner sees it.
type WorkerState string

// The states of a worker.
const (
	// Claiming means that the worker has not answered this owner yet.
	Claiming WorkerState = "claiming"
	Ready    WorkerState = "ready"
	// Unresponsive means that the worker stopped answering; its tasks may still
	// be running.
	Unresponsive WorkerState = "silent"
	// Lost means that every lease has expired: nothing runs there.
	Lost WorkerState = "lost"
)
