package cell

import (
	"time"

	"github.com/sirupsen/logrus"
)

// stopOverdueAfter is how long a stop must have been unanswered for its worker to get no new runs.
// Single answers get lost; by then the stop has been sent twice.
const stopOverdueAfter = 2 * stopResendAfter

// stopLapseAfter is how long a stop may be unanswered beside other runs before the lease of the worker
// expires with them. A cancelled task would run on without a bound otherwise, and one whose start got
// no answer would not be started again.
const stopLapseAfter = 15 * time.Second

// stopIsOverdue reports whether the worker has not answered the stop of a run for long, and does
// not list the run. The run may never have begun, so that no report will tell its end.
func (a *attempt) stopIsOverdue(now time.Time) bool {
	unlisted := a.worker.reportSentAt.After(a.firstStopAt) && !a.seenRunningAt.After(a.firstStopAt)
	return a.phase == stopping && a.stopAnsweredAt.IsZero() && unlisted && now.Sub(a.firstStopAt) >= stopOverdueAfter
}

// stopHangs reports whether the stop of a run has been unanswered for so long, whether or not the
// worker lists the run, that its lease must end it.
func (a *attempt) stopHangs(now time.Time) bool {
	return a.phase == stopping && a.stopAnsweredAt.IsZero() && now.Sub(a.firstStopAt) >= stopLapseAfter
}

// watchStops determines whether a worker has overdue stops, and whether its lease should expire
// because of them. Other runs on the worker keep the lease for stopLapseAfter.
func (c *Cell) watchStops(w *worker, now time.Time) {
	overdue, hangs := 0, false
	for a := range w.attempts {
		if a.stopIsOverdue(now) {
			overdue++
		}
		hangs = hangs || a.stopHangs(now)
	}
	if overdue > 0 && !w.stopOverdue {
		c.log.WithFields(workerFields(w)).WithField("runs", len(w.attempts)).Warn("stop_overdue")
	}
	w.stopOverdue = overdue > 0
	lapsing := hangs || w.stopOverdue && overdue == len(w.attempts)
	if lapsing && !w.lapsing {
		c.log.WithFields(workerFields(w)).WithFields(logrus.Fields{"runs": len(w.attempts), "overdue": overdue}).Warn("lease_withheld")
	}
	w.lapsing = lapsing
	c.revokeStarts(w, now)
}
