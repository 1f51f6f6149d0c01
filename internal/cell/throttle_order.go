package cell

import (
	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// ThrottleOrder sets the speed of a run.
type ThrottleOrder struct {
	Worker   runner.Target
	Task     job.TaskID
	Throttle runner.Throttle
}

func (ThrottleOrder) isOrder() {}
