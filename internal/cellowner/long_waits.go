package cellowner

import (
	"time"

	"github.com/sirupsen/logrus"
)

// mostLongWaits bounds the lines about waiting stages in one summary.
const mostLongWaits = 4

// tellLongWaits logs the stages that have waited for long, and why: work that no
// worker can hold, or that the adviser allows nowhere, otherwise looks like a lack of
// room.
func (o *Owner) tellLongWaits(now time.Time) {
	impossible := 0
	for i, w := range o.cell.LongWaits(now) {
		if w.Impossible() {
			impossible += w.Idle
		}
		if i >= mostLongWaits {
			continue
		}
		o.deps.Log.WithFields(logrus.Fields{"stage": w.Stage.String(), "queue": w.Queue, "workspace": w.Workspace, "why": w.Reason,
			"waited_ms": w.Waited.Milliseconds(), "idle": w.Idle, "tasks": w.Tasks, "need": w.Need.String(),
			"able": w.Feasible, "denied": w.Denied, "unknown": w.Unknown, "places": w.TaskCapacity}).Warn("stage_waits_long")
	}
	o.deps.Metrics.ImpossibleTasks.Set(float64(impossible))
}
