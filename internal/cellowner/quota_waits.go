package cellowner

import (
	"time"

	"github.com/sirupsen/logrus"
)

// maxQuotaWaitsLogged bounds the log lines about workspaces in one summary.
const maxQuotaWaitsLogged = 4

// logQuotaWaits logs the workspaces with tasks that wait for quota.
func (o *Owner) logQuotaWaits(now time.Time) {
	tasks := 0
	for i, w := range o.cell.QuotaWaits(now) {
		tasks += w.Tasks
		if i >= maxQuotaWaitsLogged {
			continue
		}
		o.deps.Log.WithFields(logrus.Fields{"workspace": w.Workspace, "tasks": w.Tasks, "used": w.Used.String(), "unseen": w.Unconfirmed.String(),
			"cap": w.Cap.String(), "version": w.Version}).Info("workspace_at_quota")
	}
	o.deps.Metrics.QuotaWaitingTasks.Set(float64(tasks))
}
