package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/job"
)

// suspectAfterFailedPolls is the number of consecutive failed polls after which a worker may
// have crashed; a single answer may be lost. Recording the suspects early gets them stored
// before this owner can fail as well.
const suspectAfterFailedPolls = 2

// ownerIsolatedShare is the share of unresponsive workers above which the cause is assumed to
// be this owner's connectivity.
const ownerIsolatedShare = 0.5

// reachesFewWorkers reports whether so many workers are unresponsive that this owner's own
// connectivity is the likely cause, such as a saturated link. The runs that were starting are
// then not recorded as suspects before the lease of their worker has expired.
func (c *Cell) reachesFewWorkers() bool {
	unresponsive, polled := 0, 0
	for _, w := range c.workers {
		if w.parked {
			continue
		}
		polled++
		if !w.unresponsiveSince.IsZero() {
			unresponsive++
		}
	}
	return float64(unresponsive) > ownerIsolatedShare*float64(polled)
}

// watchUnresponsive records the suspects on a worker that became unresponsive.
func (c *Cell) watchUnresponsive(w *worker, now time.Time) {
	if c.ownerIsolated {
		return
	}
	if (w.unresponsive(now) || w.failedPolls >= suspectAfterFailedPolls) && c.lostWorkers[w.ID] == nil {
		c.recordSuspects(w, now)
	}
}

// recordLapsed records the suspects on a worker that has been unresponsive until its lease expired,
// however many others are unresponsive. Its tasks are about to be started on other workers.
func (c *Cell) recordLapsed(w *worker, now time.Time) {
	if !w.unresponsiveSince.IsZero() && c.lostWorkers[w.ID] == nil {
		c.recordSuspects(w, now)
	}
}

// recordSuspects records the runs that may have crashed a worker: those that have not yet
// worked there for survivedAfter. A worker that was draining or evacuating has no suspects.
func (c *Cell) recordSuspects(w *worker, now time.Time) {
	c.pruneLostWorkers()
	lost := &lostWorker{address: w.Address, unresponsiveSince: now}
	if !w.unresponsiveSince.IsZero() {
		lost.unresponsiveSince = w.unresponsiveSince
	}
	c.unresponsiveAt.add(lost.unresponsiveSince, now)
	c.lostWorkers[w.ID] = lost
	if w.Draining || w.evacuating {
		return
	}
	for a := range w.attempts {
		if a.survived || a.inherited {
			continue
		}
		lost.addSuspect(a)
		c.dirtyChunks.mark(w.ID)
		if a.task.crashes.addUnresponsive(a.run, now) {
			a.task.stage.lostWorkers = true
			c.dirtyJobs[a.task.stage.job] = struct{}{}
			c.isolateOthers(a)
		}
	}
}

// clearSuspects reverts the loss of a worker that is alive or was terminated on purpose.
func (c *Cell) clearSuspects(id string) {
	lost := c.lostWorkers[id]
	if lost == nil {
		return
	}
	delete(c.lostWorkers, id)
	c.dirtyChunks.mark(id)
	for _, r := range lost.suspects {
		r.task.crashes.removeUnresponsive(r.run)
		c.dirtyJobs[r.task.stage.job] = struct{}{}
	}
}

// workerCrashed handles a confirmed crash of a worker and fails the jobs of poison tasks.
func (c *Cell) workerCrashed(id string, now time.Time) {
	lost := c.lostWorkers[id]
	if lost == nil {
		return
	}
	delete(c.lostWorkers, id)
	blamed := lost.blamed()
	for _, r := range lost.suspects {
		if r.hasBegun() {
			r.task.crashes.removeUnresponsive(r.run)
			c.dirtyJobs[r.task.stage.job] = struct{}{}
		}
		c.dirtyChunks.mark(id)
	}
	if !explained(lost.suspects) {
		c.unexplained.add(now)
	}
	onlySuspect := sameJob(blamed)
	correlated := c.unresponsiveAt.correlated(lost.unresponsiveSince) || c.unexplained.frequent(now)
	for _, r := range blamed {
		r.task.crashes.addCrashed(r)
		c.log.WithFields(logrus.Fields{"task": r.task.id().String(), "run": r.run, "worker": id, "crashes": len(r.task.crashes.crashed),
			"only_suspect": onlySuspect, "correlated": correlated}).Info("worker_crashed_under_run")
	}
	for _, r := range blamed {
		if r.task.isPoison(onlySuspect, correlated) {
			c.failPoisonJob(r.task, now)
		}
	}
}

// failPoisonJob fails the job of a poison task.
func (c *Cell) failPoisonJob(t *task, now time.Time) {
	j := t.stage.job
	if t.done || j.final != "" {
		return
	}
	c.stats.PoisonJobs++
	c.log.WithFields(logrus.Fields{"job": j.record.ID, "task": t.id().String(), "crashes": len(t.crashes.crashed)}).Warn("job_given_up")
	c.endJob(j, job.Failed, now)
}

// failAtLossLimit fails a stage's job if one of its idle tasks must not be started again, and
// reports whether it did.
func (c *Cell) failAtLossLimit(s *stage, now time.Time) bool {
	if !s.lostWorkers {
		return false
	}
	for _, index := range s.idle {
		if s.tasks[index].crashes.reachedLossLimit() {
			c.failPoisonJob(s.tasks[index], now)
			return true
		}
	}
	return false
}

// addressReused handles the registration of a worker at an address. Lost workers that had the
// same address have crashed.
func (c *Cell) addressReused(address, id string, now time.Time) {
	for lostID, lost := range c.lostWorkers {
		if lost.address == address && lostID != id {
			c.workerCrashed(lostID, now)
		}
	}
}

// restoreSuspects loads what a previous owner stored about a worker that it had lost: when that was,
// and the suspects.
func (c *Cell) restoreSuspects(w *worker, k KnownWorker, now time.Time) {
	lost := &lostWorker{address: w.Address, unresponsiveSince: lostAtFrom(k.LostAtMillis, now)}
	if k.LostAtMillis != 0 {
		c.unresponsiveAt.add(lost.unresponsiveSince, now)
	}
	c.restoreSuspectRuns(lost, k.Suspects, true)
	c.restoreSuspectRuns(lost, k.UnconfirmedSuspects, false)
	if len(lost.suspects) > 0 || k.LostAtMillis != 0 {
		c.lostWorkers[w.ID] = lost
	}
}

func (c *Cell) restoreSuspectRuns(lost *lostWorker, runs []KnownRun, confirmed bool) {
	for _, r := range runs {
		if t := c.taskByName(r.Task); t != nil {
			lost.suspects = append(lost.suspects, suspectRun{task: t, run: r.Run, confirmed: confirmed})
		}
	}
}

// pruneLostWorkers drops lost workers that are no longer known and whose suspects are all
// settled.
func (c *Cell) pruneLostWorkers() {
	for id, lost := range c.lostWorkers {
		if c.workers[id] == nil && lost.settled() {
			delete(c.lostWorkers, id)
		}
	}
}
