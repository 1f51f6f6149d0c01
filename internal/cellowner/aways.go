package cellowner

import (
	"time"

	"github.com/sirupsen/logrus"
)

// mostAways bounds the lines about lasting tasks in one summary.
const mostAways = 4

// tellAways logs the lasting tasks that have not been at work for long, and why.
func (o *Owner) tellAways(now time.Time) {
	aways, total := o.cell.DownTasks(mostAways, now)
	for _, a := range aways {
		o.deps.Log.WithFields(logrus.Fields{"task": a.Task.String(), "why": a.Reason, "away_ms": a.DownFor.Milliseconds(),
			"run": a.Run, "worker": a.Worker, "roomy": a.WorkersWithCapacity}).Warn("lasting_task_away")
	}
	o.deps.Metrics.LongRunningTasksDown.Set(float64(total))
}
