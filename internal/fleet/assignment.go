package fleet

import "gentianstand/internal/worker"

// Assignment lists what the planner wants one worker to do.
type Assignment struct {
	Worker string
	// Epoch is the owner's epoch for which the planner decided. An assignment
	// that was in transit while the worker changed owners is dropped.
	Epoch uint64
	// Boot is the worker process for which the planner decided. The owner drops
	// starts meant for another process.
	Boot  string
	Start []worker.TaskStart
	Stop  []worker.TaskStop
	// Ack lists ended attempts whose ends the planner has stored; the worker
	// may forget them.
	Ack []worker.TaskRef
}
