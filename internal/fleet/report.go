package fleet

import (
	"gentianstand/internal/resource"
	"gentianstand/internal/worker"
)

// Report is an owner's word on one worker.
type Report struct {
	Worker string
	Shard  string
	Epoch  uint64
	// Sequence grows with each report of one epoch. A report that arrives
	// after a later one is old news: taken for new, it made a restarted worker
	// look as if it had restarted once more, and its tasks started anew.
	Sequence uint64
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
