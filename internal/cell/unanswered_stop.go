package cell

import "time"

// stopOverdueAfter is how long a stop must have been unanswered for its worker to get no new runs.
// Single answers get lost; by then the stop has been sent twice.
const stopOverdueAfter = 2 * stopResendAfter

// stopIsOverdue reports whether the worker has not answered the stop of a run for long, and does
// not list the run. The run may never have begun, so that no report will tell its end.
func (a *attempt) stopIsOverdue(now time.Time) bool {
	unlisted := a.worker.reportSentAt.After(a.firstStopAt) && !a.seenRunningAt.After(a.firstStopAt)
	return a.phase == stopping && a.stopAnsweredAt.IsZero() && unlisted && now.Sub(a.firstStopAt) >= stopOverdueAfter
}

// watchStops determines whether a worker has overdue stops, and whether its lease should expire
// because of them. Other runs on the worker keep the lease.
func (c *Cell) watchStops(w *worker, now time.Time) {
	overdue := 0
	for a := range w.attempts {
		if a.stopIsOverdue(now) {
			overdue++
		}
	}
	if overdue > 0 && !w.stopOverdue {
		c.log.WithFields(workerFields(w)).WithField("runs", len(w.attempts)).Warn("stop_overdue")
	}
	w.stopOverdue = overdue > 0
	w.lapsing = w.stopOverdue && overdue == len(w.attempts)
	c.revokeStarts(w, now)
}
