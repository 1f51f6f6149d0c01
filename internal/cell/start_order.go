package cell

import (
	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// StartOrder starts a run.
type StartOrder struct {
	Worker runner.Target
	Task   job.TaskID
	Start  runner.Start
}

func (StartOrder) isOrder() {}
