package cell

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// watchPeriod is how often the runs are looked through. Nothing there is
	// decided within less than some hundred milliseconds.
	watchPeriod = 40 * time.Millisecond
	// stopRepeat is the time after which an unanswered stop is sent again; a call
	// to a worker takes a few milliseconds. Each stop that is lost delays the next
	// start of its task by this.
	stopRepeat = 250 * time.Millisecond
	// stallLeast is the least time without progress that counts as a stall.
	// Reports come every second at least and progress moves in whole percents.
	stallLeast = 1800 * time.Millisecond
	// stallShare of the estimate without progress counts as a stall, as progress
	// in whole percents of a long task moves rarely.
	stallShare = 0.25
	// freshLeast and freshShare of the estimate are the same for a run that began
	// without a checkpoint and has made no progress at all: the first percent shows soon,
	// also on a worker that is several times slower.
	freshLeast = 800 * time.Millisecond
	freshShare = 0.1
	// slowFactor is how much longer than a fresh start elsewhere a run has to
	// need before it is moved: stopping and the estimate's error cost something.
	slowFactor = 1.6
	// suspectFactor is how many times longer than usual a run takes whose worker is
	// likely slow: tasks of one queue differ by up to 2.5 times.
	suspectFactor = 3
	// siblingLeast is the progress in percent from which a sibling's speed tells
	// something; progress is reported in whole percents.
	siblingLeast = 10
	// slowLeast is the least time a run must have been going before its speed is
	// judged.
	slowLeast = 1200 * time.Millisecond
)

// watch looks after the runs on one worker: ends of leases, stops without an
// answer, stalled and slow runs, leaving workers, and tail targets.
func (c *Cell) watch(w *worker, now time.Time) {
	if w.parked {
		c.watchParked(w, now)
		return
	}
	c.watchClosing(w, now)
	c.watchSilence(w, now)
	if c.watchLease(w, now) {
		return
	}
	for a := range w.attempts {
		switch {
		case a.phase == stopping:
			if a.stopAnsweredAt.IsZero() && now.Sub(a.stopSentAt) > stopRepeat {
				c.sendStop(a, now)
			}
		case w.Draining:
			c.watchLeaving(a, now)
		case w.evacuating:
			c.evacuate(a, now)
		case a.phase == running:
			c.watchProgress(a, now)
		}
		c.copyIfDoubtful(a, now)
	}
	if w.servers > 0 && w.fillers > 0 {
		c.paceFillers(w, now)
	} else if w.fillers > 0 {
		c.restorePace(w, now)
	}
}

// watchParked forgets a parked worker that left.
func (c *Cell) watchParked(w *worker, now time.Time) {
	if !w.unlistedAt.IsZero() && now.Sub(w.unlistedAt) > unlistedGrace {
		c.forget(w)
	}
}

// watchLease drops the runs of a worker whose lease must have ended, and
// forgets workers that left. It reports whether nothing else is to be done.
func (c *Cell) watchLease(w *worker, now time.Time) bool {
	if w.reported && !w.unlistedAt.IsZero() && !w.failingAt.IsZero() && len(w.attempts) == 0 {
		// It has left: the books are complete, and nothing of ours can run there. A
		// worker that stayed among the known ones would hold a new owner back.
		c.forget(w)
		return true
	}
	over := w.lapsed(now)
	if w.clockAt.IsZero() {
		over = !now.Before(c.unseenUntil(w))
	}
	if !over || now.Sub(w.lastReport) < reportFresh {
		return false
	}
	w.accounted = true
	if len(w.attempts) > 0 {
		c.log.WithFields(workerFields(w)).WithFields(logrus.Fields{"runs": len(w.attempts),
			"report_age_ms": now.Sub(w.lastReport).Milliseconds()}).Warn("lease_over")
		c.loseAll(w, "lease_over", now)
	}
	w.reported = false
	if !w.unlistedAt.IsZero() && now.Sub(w.unlistedAt) > unlistedGrace {
		c.forget(w)
	}
	return true
}

// watchProgress stops a run that stands still, or that would be done sooner if
// it started again elsewhere.
func (c *Cell) watchProgress(a *attempt, now time.Time) {
	step := a.task.stage.step
	if step.Gang || step.LongRunning || step.BestEffort || a.changedAt.IsZero() {
		return
	}
	still := now.Sub(a.changedAt)
	limit := a.stallLimit()
	// A worker whose reports stop coming is not a stalled task.
	if still > limit && a.worker.lastReport.Sub(a.changedAt) > limit {
		c.blameWorker(a, now)
		c.move(a, "stalled", still, now)
		return
	}
	if c.suspicious(a) {
		c.blameWorker(a, now)
	}
	if !a.slow && c.slow(a) {
		c.blameWorker(a, now)
		if step.AllowDuplicates {
			a.slow = true
			return
		}
		c.move(a, "slow", a.elapsed(now), now)
		return
	}
	a.slow = a.slow || step.AllowDuplicates && c.copyPays(a)
}

// move stops a run so that its task starts elsewhere.
func (c *Cell) move(a *attempt, why string, after time.Duration, now time.Time) {
	if !c.uses(Moves) {
		return
	}
	c.log.WithFields(attemptFields(a)).WithField("after_ms", after.Milliseconds()).Info("run_" + why)
	c.stats.Moves++
	c.stop(a, why, now)
}

// stallLimit returns how long a run may go without progress. What is started on a worker
// that stands still is late by this limit.
func (a *attempt) stallLimit() time.Duration {
	estimate := float64(a.task.stage.step.Estimate)
	if a.fromStart && a.percent == 0 {
		return max(freshLeast, time.Duration(freshShare*estimate))
	}
	return max(stallLeast, time.Duration(stallShare*estimate))
}

// slow reports whether a run would take much longer here than a fresh one.
func (c *Cell) slow(a *attempt) bool {
	if a.changedAt.Sub(a.confirmedAt) < slowLeast || a.percent <= 0 || a.percent >= 90 {
		return false
	}
	fresh := c.freshDuration(a)
	return a.projectedLeft() > time.Duration(slowFactor*float64(fresh+c.settings.StopGrace))+slowLeast
}

// suspicious reports whether a run goes so slowly that its worker is likely at fault.
// Short tasks are not moved off such a worker, but it should not get urgent ones.
func (c *Cell) suspicious(a *attempt) bool {
	elapsed := a.changedAt.Sub(a.confirmedAt)
	if !a.fromStart || elapsed < copyLeast || a.percent <= 0 {
		return false
	}
	return elapsed+a.projectedLeft() > suspectFactor*c.usualDuration(a)
}

// blameWorker counts a run against its worker's health, once.
func (c *Cell) blameWorker(a *attempt, now time.Time) {
	if a.blamed {
		return
	}
	a.blamed = true
	c.noteFailure(a.worker, a.task.stage.id.Job, now)
}

// noteFailure counts a failure of a job's run against a worker's health.
func (c *Cell) noteFailure(w *worker, jobID string, now time.Time) {
	if c.uses(Quarantine) {
		w.health.failed(jobID, now)
	}
}

// projectedLeft returns how long a run with some progress still needs at its speed
// so far.
func (a *attempt) projectedLeft() time.Duration {
	elapsed := a.changedAt.Sub(a.confirmedAt)
	return time.Duration(float64(elapsed) * float64(100-a.percent) / float64(a.percent))
}

// freshDuration returns how long another run of the attempt's task would take.
func (c *Cell) freshDuration(a *attempt) time.Duration {
	fresh := c.usualDuration(a)
	if a.task.stage.step.Checkpoint && a.task.saved != "" {
		return fresh * time.Duration(100-a.percent) / 100
	}
	return fresh
}

// usualDuration returns how long a fresh run of the attempt's task would take: what its
// siblings on other workers show, or, without any, the longer of the estimate and one and
// a half times what the queue's tasks usually take. Estimates alone are far off.
func (c *Cell) usualDuration(a *attempt) time.Duration {
	fastest := time.Duration(0)
	for _, sibling := range a.task.stage.tasks {
		for _, other := range sibling.attempts {
			if other.worker == a.worker || other.percent < siblingLeast || !other.fromStart {
				continue
			}
			total := other.changedAt.Sub(other.confirmedAt) * 100 / time.Duration(other.percent)
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

// watchLeaving moves a run off a worker that is about to leave, unless it will
// be done before.
func (c *Cell) watchLeaving(a *attempt, now time.Time) {
	w := a.worker
	step := a.task.stage.step
	leavesIn := w.drainSeen.Add(w.Remaining).Sub(now)
	if !step.LongRunning && c.expectedLeft(a, now) < leavesIn {
		return
	}
	c.stats.Moves++
	c.stop(a, "worker_leaving", now)
}

// expectedLeft guesses how long a run still needs.
func (c *Cell) expectedLeft(a *attempt, now time.Time) time.Duration {
	if a.percent > 5 && !a.confirmedAt.IsZero() {
		pace := a.changedAt.Sub(a.confirmedAt) / time.Duration(a.percent)
		return time.Duration(100-a.percent)*pace - now.Sub(a.changedAt)
	}
	return a.task.stage.step.Estimate - a.elapsed(now)
}
