package cell

import (
	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// PaceOrder sets the speed of a run.
type PaceOrder struct {
	Worker runner.Target
	Task   job.TaskID
	Pace   runner.Throttle
}

func (PaceOrder) isOrder() {}
