package cell

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/runner"
)

// NextPoll returns where and how to look at a worker next; ok is false if the
// worker is no longer known, or parked.
func (c *Cell) NextPoll(id string, now time.Time) (target runner.Target, poll runner.Poll, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil || w.parked {
		return target, poll, false
	}
	poll = runner.Poll{Token: c.settings.Term, Acknowledged: w.ackedEnd}
	if w.clockAt.IsZero() || !w.unresponsiveSince.IsZero() {
		// A look without an answer may have been carried out. If each one carried
		// a later lease end, the lease of a lost worker would never be over.
		return w.target, poll, true
	}
	end := w.extendLease(c.settings.Lease, now)
	poll.LeaseUntil = &end
	if w.reported && !w.awaitsStopReport() {
		poll.Wait = c.pollWait(w, now)
	}
	return w.target, poll, true
}

// pollWait is how long a look may wait for an end: until a little after the next one is
// expected. If an answer gets lost, a longer wait would delay every end on its worker.
func (c *Cell) pollWait(w *worker, now time.Time) time.Duration {
	wait := maxPollWait
	for a := range w.attempts {
		if a.phase == running && !a.task.stage.step.LongRunning {
			wait = min(wait, c.expectedRemaining(a, now)+pollSlack)
		}
		if a.isolated() {
			wait = min(wait, survivedAfter)
		}
	}
	return max(wait, minPollWait).Truncate(time.Millisecond)
}

// awaitsStopReport reports whether the next report should come at once, because a stop
// was answered and the run may be one that never began and will not be listed.
func (w *worker) awaitsStopReport() bool {
	for a := range w.attempts {
		if a.phase == stopping && !a.stopAnsweredAt.IsZero() && !a.reportedAfterStop {
			return true
		}
	}
	return false
}

// Reported takes in a worker's answer to a look that was sent at sentAt.
func (c *Cell) Reported(id string, report runner.Report, sentAt, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil || w.parked || !c.checkIncarnation(w, report.Incarnation, sentAt, now) {
		return
	}
	if w.clockAt.IsZero() {
		// An earlier owner may have granted a lease just before.
		w.leaseEnd = max(w.leaseEnd, report.Clock+c.settings.Lease+clockEstimateError)
	}
	w.updateClock(report.Clock, now)
	if !w.unresponsiveSince.IsZero() {
		c.log.WithFields(workerFields(w)).WithField("silent_ms", now.Sub(w.unresponsiveSince).Milliseconds()).Info("worker_answers_again")
		w.unresponsiveSince = time.Time{}
	}
	c.clearSuspects(w.ID)
	w.failedPolls = 0
	w.lastReport = now
	ended := map[runKey]bool{}
	// complete says that the books on this worker will be right after the report.
	complete := !endListFull(report)
	for _, e := range report.Ended {
		ended[runKey{e.Task, e.Run}] = true
	}
	for _, e := range report.Ended {
		if e.Sequence <= w.seenEnd {
			continue
		}
		if !c.recordEnd(w, e, now) {
			complete = false
			break
		}
		w.seenEnd = e.Sequence
	}
	if !c.reconcileRuns(w, report, ended, sentAt, now) {
		complete = false
	}
	if complete && !w.reported {
		w.reported, w.accounted = true, true
		c.log.WithFields(workerFields(w)).WithField("runs", len(w.attempts)).Debug("worker_reported")
	}
}

// runKey names a run in a report.
type runKey struct {
	task string
	run  uint64
}

// reconcileRuns compares what the worker runs with the cell's books, and reports
// whether it could: a run of a job that has yet to be looked for is not booked.
func (c *Cell) reconcileRuns(w *worker, report runner.Report, ended map[runKey]bool, sentAt, now time.Time) bool {
	complete := true
	present := make(map[*attempt]bool, len(report.Running))
	for _, r := range report.Running {
		if ended[runKey{r.Task, r.Run}] {
			continue
		}
		if !c.knowsJob(r.Task) {
			complete = false
			continue
		}
		if a := c.findOrAdopt(w, r, now); a != nil {
			present[a] = true
			a.reportedAfterStop = !a.stopAnsweredAt.IsZero() && a.stopAnsweredAt.Before(sentAt)
			c.recordProgress(a, r, now)
		}
	}
	if endListFull(report) {
		// A run that is not shown may have an end that is not listed yet.
		return complete
	}
	for a := range w.attempts {
		if !present[a] {
			c.handleUnlisted(a, len(report.Ended), sentAt, now)
		}
	}
	return complete
}

// endListFull reports whether a worker may have more ends than it lists.
func endListFull(report runner.Report) bool { return len(report.Ended) >= runner.MaxReportedEnds }

// handleUnlisted deals with a booked run that a report, which lists some ends, does not show.
func (c *Cell) handleUnlisted(a *attempt, listed int, sentAt, now time.Time) {
	switch {
	case !a.stopAnsweredAt.IsZero() && a.stopAnsweredAt.Before(sentAt):
		// The stop was answered before the look was sent: the run has ended or
		// can never begin.
		c.drop(a, "revoked", now)
	case a.phase == running && !a.confirmedAt.IsZero() && a.confirmedAt.Before(sentAt):
		// The worker confirmed the run earlier, does not show it now and does not
		// list its end either. Revoking it makes sure before it starts elsewhere.
		c.log.WithFields(attemptFields(a)).WithFields(logrus.Fields{"born": a.worker.incarnation, "listed": listed,
			"seen": a.worker.seenEnd, "acknowledged": a.worker.ackedEnd}).Warn("run_vanished")
		c.stop(a, "vanished", now)
	}
}

// PollFailed takes in that a look got no report.
func (c *Cell) PollFailed(id string, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil || w.parked {
		return
	}
	if errors.Is(err, runner.ErrIncarnationGone) {
		if c.lostWorkers[w.ID] == nil {
			c.recordSuspects(w, now)
		}
		c.workerCrashed(w.ID, now)
		c.removeReplaced(w, now)
		return
	}
	w.failedPolls++
	if w.unresponsiveSince.IsZero() {
		w.unresponsiveSince = now
		c.log.WithFields(workerFields(w)).WithError(err).Warn("worker_silent")
	}
}

// removeReplaced takes a worker out whose life has ended. Until the roster drops it, news of it
// there is old: taken for a worker again, it would be stored as one that may have runs,
// and hold the next owner up.
func (c *Cell) removeReplaced(w *worker, now time.Time) {
	c.log.WithFields(workerFields(w)).WithField("runs", len(w.attempts)).Info("worker_replaced")
	c.dropAllRuns(w, "worker_replaced", now)
	c.endedIncarnations[w.ID] = w.incarnation
	c.deleteWorker(w)
}

// dropAllRuns drops every run of a worker: it is certain that none goes on.
func (c *Cell) dropAllRuns(w *worker, reason string, now time.Time) {
	c.logLost(w, reason)
	for a := range w.attempts {
		c.stats.Lost++
		c.drop(a, reason, now)
	}
	w.reported = false
}
