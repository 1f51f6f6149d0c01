package fleet

import "gentianstand/internal/worker"

// Assignment is what the planner wants of one worker.
type Assignment struct {
	Worker string
	// Epoch is the owner's epoch that the planner decided for. An assignment
	// that was on its way while the worker changed hands is dropped.
	Epoch uint64
	// Boot is the worker process the planner decided for. The owner drops
	// starts for another one.
	Boot  string
	Start []worker.TaskStart
	Stop  []worker.TaskStop
	// Ack lists ended attempts whose ends are kept; they may be forgotten.
	Ack []worker.TaskRef
}
