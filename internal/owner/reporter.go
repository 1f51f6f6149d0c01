package owner

import (
	"context"
	"time"

	"gentianstand/internal/fleet"
)

// Run reports to the planner until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	defer o.quit()
	for ctx.Err() == nil {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-o.changes:
			time.Sleep(coalesceDelay)
			all = o.fullReport.Swap(false)
		case <-ticker.C:
			all = true
		}
		o.reportOnce(ctx, all)
	}
}

// reportOnce sends the changed workers, or all. Workers whose report could not
// be delivered stay marked and are sent with the next one.
func (o *Owner) reportOnce(ctx context.Context, all bool) {
	minders := o.list()
	var sent []*workerLoop
	var reports []fleet.Report
	for _, m := range minders {
		if m.takeDirty() || all {
			sent = append(sent, m)
			reports = append(reports, m.report())
		}
	}
	if len(reports) == 0 && !all {
		return
	}
	epoch, err := o.planner.Report(ctx, all, reports)
	o.metrics.reports.Inc()
	if err != nil {
		for _, m := range sent {
			m.markDirty()
		}
		if all {
			o.fullReport.Store(true)
		}
		o.log.WithError(err).Debug("report_failed")
		time.AfterFunc(reportRetry, o.wakeReporter)
		return
	}
	o.observePlannerEpoch(epoch)
}

// observePlannerEpoch records the planner's epoch and triggers a full report to
// a new planner.
func (o *Owner) observePlannerEpoch(epoch uint64) {
	o.mu.Lock()
	later := epoch > o.plannerEpoch
	o.plannerEpoch = max(o.plannerEpoch, epoch)
	o.mu.Unlock()
	if later {
		o.fullReport.Store(true)
		o.wakeReporter()
	}
}

// takeDirty clears the mark for unreported changes and returns whether it was
// set.
func (m *workerLoop) takeDirty() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	was := m.dirty
	m.dirty = false
	return was
}

func (m *workerLoop) markDirty() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dirty = true
}

func (o *Owner) wakeReporter() {
	select {
	case o.changes <- struct{}{}:
	default:
	}
}

// Reports returns the current reports of all workers.
func (o *Owner) Reports() []fleet.Report {
	minders := o.list()
	reports := make([]fleet.Report, 0, len(minders))
	for _, m := range minders {
		reports = append(reports, m.report())
	}
	return reports
}
