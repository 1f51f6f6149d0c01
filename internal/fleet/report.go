package fleet

import (
	"gentianstand/internal/resource"
	"gentianstand/internal/worker"
)

// Report is an owner's word on one worker.
type Report struct {
	Worker   string
	Shard    string
	Epoch    uint64
	Region   string
	Zone     string
	Rack     string
	Capacity resource.Amount
	State    WorkerState
	// Draining says that the worker should get nothing new.
	Draining bool
	Boot     string
	// Tasks holds every attempt that the worker has or is about to start.
	Tasks []worker.TaskStatus
}
