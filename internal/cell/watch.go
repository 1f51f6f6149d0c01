package cell

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// watchPeriod is how often the runs are checked. All of watch's limits are some 100 ms or
	// more.
	watchPeriod = 40 * time.Millisecond
	// stopResendAfter is the time after which an unanswered stop is sent again. A call to a
	// worker takes a few milliseconds. Each lost stop delays the next start of its task by this
	// time.
	stopResendAfter = 250 * time.Millisecond
	// minStall is the least time without progress that counts as a stall. Reports arrive at
	// least every second, and progress is reported in whole percents.
	minStall = 1800 * time.Millisecond
	// stallShare is the share of the estimate that counts as a stall if it passes without
	// progress. The progress of a long task changes rarely, as it is reported in whole
	// percents.
	stallShare = 0.25
	// minFreshStall and freshStallShare replace minStall and stallShare for a run that began
	// without a checkpoint and has made no progress yet. Its first percent is reported soon,
	// even on a worker that is several times slower.
	minFreshStall   = 800 * time.Millisecond
	freshStallShare = 0.1
	// slowFactor is the ratio of a run's remaining time to the duration of a fresh run
	// elsewhere above which the run is moved. It covers the cost of stopping and the error of
	// the estimate.
	slowFactor = 1.6
	// slowWorkerFactor is how many times longer than usual a run takes if its worker is
	// probably slow. Tasks of one queue differ by a factor of up to 2.5.
	slowWorkerFactor = 3
	// minSiblingPercent is the progress from which a sibling's speed is meaningful, as
	// progress is reported in whole percents.
	minSiblingPercent = 10
	// minSlowElapsed is how long a run must have progressed before its speed is rated.
	minSlowElapsed = 1200 * time.Millisecond
)

// watch checks the runs on one worker: expired leases, unanswered stops, stalled and slow
// runs, draining workers, and tail latency targets.
func (c *Cell) watch(w *worker, now time.Time) {
	if w.parked {
		c.watchParked(w, now)
		return
	}
	c.updateCordon(w, now)
	c.watchUnresponsive(w, now)
	c.watchStops(w, now)
	if c.watchLease(w, now) {
		return
	}
	for a := range w.attempts {
		switch {
		case a.phase == stopping:
			if a.stopAnsweredAt.IsZero() && now.Sub(a.stopSentAt) > stopResendAfter {
				c.sendStop(a, now)
			}
		case w.Draining:
			c.watchDraining(a, now)
		case w.evacuating:
			c.evacuate(a, now)
		case a.phase == running:
			c.watchProgress(a, now)
		}
		c.speculate(a, now)
	}
	if w.latencySensitive > 0 && w.bestEffort > 0 {
		c.throttleBestEffort(w, now)
	} else if w.bestEffort > 0 {
		c.restoreSpeed(w, now)
	}
}

// watchParked forgets a parked worker that has left the roster.
func (c *Cell) watchParked(w *worker, now time.Time) {
	if !w.unlistedAt.IsZero() && now.Sub(w.unlistedAt) > unlistedGrace {
		c.forgetWorker(w)
	}
}

// watchLease drops the runs of a worker whose lease must have expired, and forgets workers
// that have left and whose ends are stored. A new owner that did not know such a worker would start
// tasks again that have succeeded. It returns true if the worker needs no further checks.
func (c *Cell) watchLease(w *worker, now time.Time) bool {
	if w.reported && !w.unlistedAt.IsZero() && !w.unresponsiveSince.IsZero() && len(w.attempts) == 0 && w.endsStored() && !w.mayStartLate(now) {
		// The worker has left: its accounting is complete, and no run can exist there. If it
		// stayed in the store, it would delay a new owner's recovery.
		c.forgetWorker(w)
		return true
	}
	expired := w.leaseExpired(now)
	if w.clockAt.IsZero() {
		expired = !now.Before(c.earlierRunsUntil(w))
	}
	if !expired || !w.lapsing && now.Sub(w.lastReport) < maxReportAge {
		return false
	}
	w.accounted = true
	c.clearUncountedRuns(w)
	if len(w.attempts) > 0 {
		c.log.WithFields(workerFields(w)).WithFields(logrus.Fields{"runs": len(w.attempts),
			"report_age_ms": now.Sub(w.lastReport).Milliseconds()}).Warn("lease_over")
		c.recordLapsed(w, now)
		w.keepUnrevoked()
		c.dropAllRuns(w, "lease_over", now)
	}
	w.reported = false
	if !w.unlistedAt.IsZero() && now.Sub(w.unlistedAt) > unlistedGrace && w.endsStored() && !w.mayStartLate(now) {
		c.forgetWorker(w)
	}
	return true
}

// watchProgress stops a run that is stalled, or that would end sooner if it restarted
// elsewhere.
func (c *Cell) watchProgress(a *attempt, now time.Time) {
	step := a.task.stage.step
	if step.Gang || step.LongRunning || step.BestEffort || a.progressedAt.IsZero() {
		return
	}
	sinceProgress := now.Sub(a.progressedAt)
	limit := a.stallLimit()
	// If the worker's reports stop arriving, the task is not known to be stalled.
	if sinceProgress > limit && a.worker.lastReport.Sub(a.progressedAt) > limit {
		c.blameWorker(a, now)
		c.move(a, "stalled", sinceProgress, now)
		return
	}
	if c.suggestsSlowWorker(a) {
		c.blameWorker(a, now)
	}
	if !a.slow && c.isSlow(a, now) {
		c.blameSlowWorker(a, now)
		c.speedOfAbandoned(a)
		if step.AllowDuplicates {
			a.slow = true
			return
		}
		c.move(a, "slow", a.elapsed(now), now)
		return
	}
	a.slow = a.slow || step.AllowDuplicates && c.speculationPays(a, now)
}

// move stops a run so that its task restarts elsewhere.
func (c *Cell) move(a *attempt, reason string, after time.Duration, now time.Time) {
	if !c.enabled(Moves) {
		return
	}
	c.log.WithFields(attemptFields(a)).WithField("after_ms", after.Milliseconds()).Info("run_" + reason)
	c.stats.Moves++
	c.stop(a, reason, now)
}

// stallLimit returns how long a run may go without progress. A run on a stalled worker is
// delayed by this time.
func (a *attempt) stallLimit() time.Duration {
	estimate := float64(a.task.stage.step.Estimate)
	if a.fromScratch && a.percent == 0 {
		return max(minFreshStall, time.Duration(freshStallShare*estimate))
	}
	return max(minStall, time.Duration(stallShare*estimate))
}

// isSlow reports whether a run would take much longer than a fresh run elsewhere.
func (c *Cell) isSlow(a *attempt, now time.Time) bool {
	if a.progressedAt.Sub(a.confirmedAt) < minSlowElapsed || a.percent <= 0 || a.percent >= 90 {
		return false
	}
	return c.slowerThan(a, func(fresh time.Duration) time.Duration {
		return time.Duration(slowFactor*float64(fresh+c.settings.StopGrace)) + minSlowElapsed
	}, now)
}

// suggestsSlowWorker reports whether a run is so slow that its worker is probably at fault.
// Short tasks are not moved off such a worker, but it should not get urgent ones.
func (c *Cell) suggestsSlowWorker(a *attempt) bool {
	elapsed := a.progressedAt.Sub(a.confirmedAt)
	if !a.fromScratch || elapsed < speculateMinElapsed || a.percent <= 0 {
		return false
	}
	total := a.projectedTotal()
	// The usual duration is never below the estimate.
	return total > slowWorkerFactor*a.task.stage.step.Estimate && total > slowWorkerFactor*c.excusedDuration(a, total)
}

// blameSlowWorker counts a slow run against its worker's health, unless the known speed of the worker
// explains it.
func (c *Cell) blameSlowWorker(a *attempt, now time.Time) {
	if a.projectedTotal() > c.excusedDuration(a, a.projectedTotal()) {
		c.blameWorker(a, now)
	}
}

// blameWorker counts a run against its worker's health, at most once.
func (c *Cell) blameWorker(a *attempt, now time.Time) {
	if a.blamed {
		return
	}
	a.blamed = true
	c.recordFailure(a.worker, a.task.stage.id.Job, now)
}

// recordFailure counts a failed run of a job against a worker's health.
func (c *Cell) recordFailure(w *worker, jobID string, now time.Time) {
	if c.enabled(Quarantine) {
		w.health.failed(jobID, now)
	}
}

// projectedRemaining returns how long a run with some progress still needs at its speed so
// far.
func (a *attempt) projectedRemaining() time.Duration {
	elapsed := a.progressedAt.Sub(a.confirmedAt)
	return time.Duration(float64(elapsed) * float64(100-a.percent) / float64(a.percent))
}

// freshDuration returns how long another run of the attempt's task would take on a typical worker.
func (c *Cell) freshDuration(a *attempt) time.Duration {
	fresh := c.usualDuration(a)
	if c.enabled(WorkerSpeed) {
		fresh = c.speeds.Elsewhere(speedTask(a), a.projectedTotal(), fresh)
	}
	return a.leftOf(fresh)
}

// usualDuration returns how long a fresh run of the attempt's task usually takes on a typical worker. It uses the
// progress of siblings on other workers. Without any, it returns the longer of the estimate
// and 1.5 times the usual duration of the queue's tasks, as estimates alone are far off.
func (c *Cell) usualDuration(a *attempt) time.Duration {
	fastest := time.Duration(0)
	for _, sibling := range a.task.stage.tasks {
		for _, other := range sibling.attempts {
			if other.worker == a.worker || other.percent < minSiblingPercent || !other.fromScratch {
				continue
			}
			total := other.progressedAt.Sub(other.confirmedAt) * 100 / time.Duration(other.percent)
			total = time.Duration(float64(total) / c.speedFactor(other.worker))
			if fastest == 0 || total < fastest {
				fastest = total
			}
		}
	}
	estimate := a.task.stage.step.Estimate
	if fastest > 0 {
		return max(fastest, estimate)
	}
	return max(estimate, c.durations.mean[a.task.stage.job.record.Queue]*3/2)
}

// watchDraining moves a run off a draining worker unless the run will end before the worker
// leaves.
func (c *Cell) watchDraining(a *attempt, now time.Time) {
	w := a.worker
	step := a.task.stage.step
	leavesIn := w.drainingSince.Add(w.Remaining).Sub(now)
	if !step.LongRunning && c.expectedRemaining(a, now) < leavesIn {
		return
	}
	c.stats.Moves++
	c.stop(a, "worker_leaving", now)
}

// expectedRemaining estimates how long a run still needs.
func (c *Cell) expectedRemaining(a *attempt, now time.Time) time.Duration {
	if a.percent > 5 && !a.confirmedAt.IsZero() {
		perPercent := a.progressedAt.Sub(a.confirmedAt) / time.Duration(a.percent)
		return time.Duration(100-a.percent)*perPercent - now.Sub(a.progressedAt)
	}
	return a.task.stage.step.Estimate - a.elapsed(now)
}
