package cellowner

import (
	"time"

	"github.com/sirupsen/logrus"
)

// maxDownTasksLogged bounds the log lines about long-running tasks in one summary.
const maxDownTasksLogged = 4

// logDownTasks logs the long-running tasks that have been down for long, and the reason.
func (o *Owner) logDownTasks(now time.Time) {
	down, total := o.cell.DownTasks(maxDownTasksLogged, now)
	for _, a := range down {
		o.deps.Log.WithFields(logrus.Fields{"task": a.Task.String(), "why": a.Reason, "away_ms": a.DownFor.Milliseconds(),
			"owner_ms": a.OwnerAge.Milliseconds(), "run": a.Run, "worker": a.Worker, "roomy": a.WorkersWithCapacity}).Warn("lasting_task_away")
	}
	o.deps.Metrics.LongRunningTasksDown.Set(float64(total))
}
