package cell

import (
	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// StopOrder stops a run on a worker.
type StopOrder struct {
	Worker runner.Target
	Task   job.TaskID
	Stop   runner.Stop
}

func (StopOrder) isOrder() {}
