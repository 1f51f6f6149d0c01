package planner

import (
	"gentianstand/internal/fleet"
	"gentianstand/internal/worker"
)

// workerView is the planner's in-memory state of a worker.
type workerView struct {
	report fleet.Report
	// tasks holds the tasks recorded as assigned to this worker.
	tasks map[taskKey]bool
	// orphans holds attempts that run there but are not recorded.
	orphans map[worker.TaskRef]worker.TaskStatus
	// seen is true once the worker has been reported since this planner took
	// over.
	seen bool
}

func (v *workerView) usable() bool {
	return v.report.State == fleet.Ready && !v.report.Draining
}

// accounted reports whether the attempts running on the worker are known.
func (v *workerView) accounted() bool {
	return v.seen && (v.report.State == fleet.Ready || v.report.State == fleet.Lost)
}
