package planner

import (
	"gentianstand/internal/fleet"
	"gentianstand/internal/worker"
)

// workerView is a worker in the planner's memory.
type workerView struct {
	report fleet.Report
	// tasks are the attempts that the books have on this worker.
	tasks map[taskKey]bool
	// orphans are attempts that run there but are not in the books.
	orphans map[worker.TaskRef]worker.TaskStatus
	// seen says that it has been reported since this planner took over.
	seen bool
}

func (v *workerView) usable() bool {
	return v.report.State == fleet.Ready && !v.report.Draining
}

// accounted reports whether it is known what runs there.
func (v *workerView) accounted() bool {
	return v.seen && (v.report.State == fleet.Ready || v.report.State == fleet.Lost)
}
