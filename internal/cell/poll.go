package cell

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/runner"
)

// NextPoll returns the target and content of the next poll of a worker; ok is false if the
// worker is parked or no longer known.
func (c *Cell) NextPoll(id string, now time.Time) (target runner.Target, poll runner.Poll, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil || w.parked {
		return target, poll, false
	}
	poll = runner.Poll{Token: c.settings.Term, Acknowledged: w.ackedEnd, Reconnect: w.unanswered}
	if !w.reported || !w.unresponsiveSince.IsZero() {
		// An unanswered poll may have been carried out. If each carried a later lease end, the
		// lease of a lost worker would never expire. Nor would that of runs which cannot be
		// accounted for because their jobs are unknown; the recovery relies on their end.
		return w.target, poll, true
	}
	if w.leaseWithheld() {
		poll.Wait = minPollWait
		return w.target, poll, true
	}
	end := w.extendLease(c.settings.Lease, now)
	poll.LeaseUntil = &end
	if !w.awaitsStopReport() {
		poll.Wait = c.pollWait(w, now)
	}
	return w.target, poll, true
}

// pollWait returns how long a worker may delay its answer until a run ends: until shortly
// after the next end is expected. If an answer gets lost, a longer wait would delay every end
// on the worker.
func (c *Cell) pollWait(w *worker, now time.Time) time.Duration {
	wait := maxPollWait
	for a := range w.attempts {
		if a.phase == running && !a.task.stage.step.LongRunning {
			wait = min(wait, c.expectedEnd(a, now)+pollSlack)
		}
		if a.isolated() {
			wait = min(wait, survivedAfter)
		}
	}
	return max(wait, minPollWait).Truncate(time.Millisecond)
}

// expectedEnd returns after how long a run is expected to end. Until its progress shows its
// speed, that depends on the speed of its worker.
func (c *Cell) expectedEnd(a *attempt, now time.Time) time.Duration {
	if a.percent > 5 {
		return c.expectedRemaining(a, now)
	}
	estimate := float64(a.task.stage.step.Estimate)
	return time.Duration(c.speedFactor(a.worker)*estimate) - a.elapsed(now)
}

// awaitsStopReport reports whether the next report is needed at once, because a stop was
// answered and the run may never have begun, so that its end will not be listed.
func (w *worker) awaitsStopReport() bool {
	for a := range w.attempts {
		if a.phase == stopping && !a.stopAnsweredAt.IsZero() && !a.reportedAfterStop {
			return true
		}
	}
	return false
}

// Reported handles a worker's report, which answers a poll sent at sentAt.
func (c *Cell) Reported(id string, report runner.Report, sentAt, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil || w.parked || !c.checkIncarnation(w, report.Incarnation, sentAt, now) {
		return
	}
	if w.clockAt.IsZero() {
		// A previous owner may have extended the lease just before.
		w.leaseEnd = max(w.leaseEnd, report.Clock+c.settings.Lease+clockEstimateError)
	}
	w.updateClock(report.Clock, now)
	if !w.unresponsiveSince.IsZero() {
		c.log.WithFields(workerFields(w)).WithField("silent_ms", now.Sub(w.unresponsiveSince).Milliseconds()).Info("worker_answers_again")
		w.unresponsiveSince = time.Time{}
	}
	c.clearSuspects(w.ID)
	w.failedPolls, w.unanswered = 0, false
	w.reportGap = now.Sub(w.lastReport)
	w.lastReport, w.reportSentAt = now, sentAt
	ended := map[runKey]bool{}
	// complete is set if the accounting of this worker is correct after the report.
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
		c.clearUncountedRuns(w)
		c.log.WithFields(workerFields(w)).WithField("runs", len(w.attempts)).Debug("worker_reported")
	}
}

// runKey identifies a run in a report.
type runKey struct {
	task string
	run  uint64
}

// reconcileRuns compares a worker's reported runs with the accounted ones. It returns false if
// it could not account for all: a run whose job is not loaded yet is skipped.
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
			a.seenRunningAt = sentAt
			a.reportedAfterStop = !a.stopAnsweredAt.IsZero() && a.stopAnsweredAt.Before(sentAt)
			c.recordProgress(a, r, now)
		}
	}
	if endListFull(report) {
		// An unlisted run may have an end that is not listed yet.
		return complete
	}
	for a := range w.attempts {
		if !present[a] {
			c.handleUnlisted(a, len(report.Ended), sentAt, now)
		}
	}
	return complete
}

// endListFull reports whether a worker may have more ends than the report lists.
func endListFull(report runner.Report) bool { return len(report.Ended) >= runner.MaxReportedEnds }

// handleUnlisted handles an accounted run that is missing from a report. listed is the number
// of ends in the report.
func (c *Cell) handleUnlisted(a *attempt, listed int, sentAt, now time.Time) {
	switch {
	case !a.stopAnsweredAt.IsZero() && a.stopAnsweredAt.Before(sentAt):
		// The stop was answered before the poll was sent: the run has ended or can never
		// begin.
		c.drop(a, "revoked", now)
	case a.phase == running && !a.confirmedAt.IsZero() && a.confirmedAt.Before(sentAt):
		// The worker confirmed the run earlier, but now lists neither the run nor its end. The
		// run is revoked before the task starts elsewhere, to be safe.
		c.log.WithFields(attemptFields(a)).WithFields(logrus.Fields{"born": a.worker.incarnation, "listed": listed,
			"seen": a.worker.seenEnd, "acknowledged": a.worker.ackedEnd}).Warn("run_vanished")
		c.stop(a, "vanished", now)
	}
}

// PollFailed handles a poll that got no report.
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
	w.unanswered = errors.Is(err, runner.ErrNoAnswer)
	if w.unresponsiveSince.IsZero() {
		w.unresponsiveSince = now
		c.log.WithFields(workerFields(w)).WithError(err).Warn("worker_silent")
	}
}

// removeReplaced removes a worker whose incarnation has ended. Its roster entry is ignored
// until the roster drops it. Otherwise the worker would be added again and stored as one that
// may have runs, and would delay the next owner's recovery.
func (c *Cell) removeReplaced(w *worker, now time.Time) {
	c.log.WithFields(workerFields(w)).WithField("runs", len(w.attempts)).Info("worker_replaced")
	c.dropAllRuns(w, "worker_replaced", now)
	c.endedIncarnations[w.ID] = w.incarnation
	c.deleteWorker(w)
}

// dropAllRuns drops all runs of a worker, as they are certain to have ended.
func (c *Cell) dropAllRuns(w *worker, reason string, now time.Time) {
	c.logLost(w, reason)
	for a := range w.attempts {
		c.stats.Lost++
		c.drop(a, reason, now)
	}
	w.reported = false
}
