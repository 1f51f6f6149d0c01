package cell

import (
	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// StopOrder ends a run.
type StopOrder struct {
	Worker runner.Target
	Task   job.TaskID
	Stop   runner.Stop
}

func (StopOrder) isOrder() {}
