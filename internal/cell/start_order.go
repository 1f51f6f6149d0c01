package cell

import (
	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// StartOrder starts a run on a worker.
type StartOrder struct {
	Worker runner.Target
	Task   job.TaskID
	Start  runner.Start
}

func (StartOrder) isOrder() {}
