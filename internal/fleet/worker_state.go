// Package fleet holds the messages between the planner, which decides where
// tasks run, and the owners of workers, which make them run.
package fleet

// WorkerState is what an owner knows of a worker.
type WorkerState string

// The states of a worker.
const (
	// Claiming means that the worker has not answered this owner yet.
	Claiming WorkerState = "claiming"
	Ready    WorkerState = "ready"
	// Silent means that the worker stopped answering; its tasks may be
	// running.
	Silent WorkerState = "silent"
	// Lost means that every lease has lapsed: nothing runs there.
	Lost WorkerState = "lost"
)
