package fleet

import (
	"gentianstand/internal/resource"
	"gentianstand/internal/worker"
)

// Report is an owner's report on one worker.
type Report struct {
	Worker string
	// Owner is the instance that made the report.
	Owner string
	Shard string
	Epoch uint64
	// Sequence increases with each report of one epoch. A report that arrives
	// after a later one is outdated. Before such reports were dropped, one made
	// a restarted worker appear to have restarted again, so that its tasks were
	// started again.
	Sequence uint64
	Region   string
	Zone     string
	Rack     string
	Capacity resource.Amount
	State    WorkerState
	// Draining is true if the worker should get no new tasks.
	Draining bool
	Boot     string
	// Tasks holds every attempt that the worker has or is about to start.
	Tasks []worker.TaskStatus
}
