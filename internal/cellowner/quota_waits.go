package cellowner

import (
	"time"

	"github.com/sirupsen/logrus"
)

// mostQuotaWaits bounds the lines about workspaces in one summary.
const mostQuotaWaits = 4

// tellQuotaWaits logs the workspaces of which tasks wait for their quota.
func (o *Owner) tellQuotaWaits(now time.Time) {
	tasks := 0
	for i, w := range o.cell.QuotaWaits(now) {
		tasks += w.Tasks
		if i >= mostQuotaWaits {
			continue
		}
		o.deps.Log.WithFields(logrus.Fields{"workspace": w.Workspace, "tasks": w.Tasks, "used": w.Used.String(), "unseen": w.Unconfirmed.String(),
			"cap": w.Cap.String(), "version": w.Version}).Info("workspace_at_quota")
	}
	o.deps.Metrics.QuotaWaitingTasks.Set(float64(tasks))
}
