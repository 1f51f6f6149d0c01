package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/job"
)

// failedLooks is how many looks in a row get no answer from a worker that crashed; a single
// answer may be lost. The suspects are stored soon then, before an owner that is lost next
// takes the knowledge with it.
const failedLooks = 2

// ownSilenceShare is from which share of silent workers on the silence is the owner's own.
const ownSilenceShare = 0.5

// isolatedFromWorkers reports whether so many workers are silent that it is this owner
// that reaches none. Its link may be full; the runs that were starting are no suspects
// then.
func (c *Cell) isolatedFromWorkers() bool {
	silent, awake := 0, 0
	for _, w := range c.workers {
		if w.parked {
			continue
		}
		awake++
		if !w.failingAt.IsZero() {
			silent++
		}
	}
	return float64(silent) > ownSilenceShare*float64(awake)
}

// watchSilence notes the suspects on a worker that has fallen silent.
func (c *Cell) watchSilence(w *worker, now time.Time) {
	if c.ownSilence {
		return
	}
	if (w.silent(now) || w.failedLooks >= failedLooks) && c.lost[w.ID] == nil {
		c.noteSuspects(w, now)
	}
}

// noteSuspects notes the runs that may have crashed a worker: those that have not survived
// there for survivedAfter. A worker that was about to leave has no suspects.
func (c *Cell) noteSuspects(w *worker, now time.Time) {
	c.forgetLost()
	lost := &lostWorker{address: w.Address, since: now}
	if !w.failingAt.IsZero() {
		lost.since = w.failingAt
	}
	c.silences.add(lost.since, now)
	c.lost[w.ID] = lost
	if w.Draining || w.evacuating {
		return
	}
	for a := range w.attempts {
		if a.survived || a.inherited {
			continue
		}
		lost.suspect(a)
		c.known.changed(w.ID)
		if a.task.crashes.workerSilent(a.run, now) {
			a.task.stage.lostWorkers = true
			c.dirty[a.task.stage.job] = struct{}{}
			c.isolateOthers(a)
		}
	}
}

// clearSuspects takes the loss of a worker back: it lives, or it was ended on purpose.
func (c *Cell) clearSuspects(id string) {
	lost := c.lost[id]
	if lost == nil {
		return
	}
	delete(c.lost, id)
	for _, r := range lost.suspects {
		r.task.crashes.workerLives(r.run)
		c.dirty[r.task.stage.job] = struct{}{}
		c.known.changed(id)
	}
}

// workerCrashed takes in that a worker has crashed, and gives up the jobs of poison tasks.
func (c *Cell) workerCrashed(id string, now time.Time) {
	lost := c.lost[id]
	if lost == nil {
		return
	}
	delete(c.lost, id)
	blamed := lost.blamed()
	for _, r := range lost.suspects {
		if r.begun() {
			r.task.crashes.workerLives(r.run)
			c.dirty[r.task.stage.job] = struct{}{}
		}
		c.known.changed(id)
	}
	onlySuspect, correlated := sameJob(blamed), c.silences.correlated(lost.since)
	for _, r := range blamed {
		r.task.crashes.workerCrashed(r.run, r.atOnce)
		c.log.WithFields(logrus.Fields{"task": r.task.id().String(), "run": r.run, "worker": id, "crashes": len(r.task.crashes.crashed),
			"only_suspect": onlySuspect, "correlated": correlated}).Info("worker_crashed_under_run")
	}
	for _, r := range blamed {
		if r.task.crashesWorkers(onlySuspect, correlated) {
			c.giveUp(r.task, now)
		}
	}
}

// giveUp ends the job of a poison task.
func (c *Cell) giveUp(t *task, now time.Time) {
	j := t.stage.job
	if t.done || j.final != "" {
		return
	}
	c.stats.PoisonJobs++
	c.log.WithFields(logrus.Fields{"job": j.record.ID, "task": t.id().String(), "crashes": len(t.crashes.crashed)}).Warn("job_given_up")
	c.end(j, job.Failed, now)
}

// giveUpHopeless gives a stage's job up if one of its idle tasks must not be started again,
// and reports whether it did.
func (c *Cell) giveUpHopeless(s *stage, now time.Time) bool {
	if !s.lostWorkers {
		return false
	}
	for _, index := range s.idle {
		if s.tasks[index].crashes.isHopeless() {
			c.giveUp(s.tasks[index], now)
			return true
		}
	}
	return false
}

// replacedAt takes in that a worker has registered at an address: the ones before it there
// have crashed if they were lost.
func (c *Cell) replacedAt(address, id string, now time.Time) {
	for before, lost := range c.lost {
		if lost.address == address && before != id {
			c.workerCrashed(before, now)
		}
	}
}

// inheritSuspects takes in what an earlier owner stored of a worker that had fallen silent.
func (c *Cell) inheritSuspects(w *worker, runs []KnownRun) {
	lost := &lostWorker{address: w.Address}
	for _, r := range runs {
		if t := c.taskNamed(r.Task); t != nil {
			lost.suspects = append(lost.suspects, suspectRun{task: t, run: r.Run, confirmed: true})
		}
	}
	if len(lost.suspects) > 0 {
		c.lost[w.ID] = lost
	}
}

// forgetLost drops lost workers that are not known any more and on which nothing depends.
func (c *Cell) forgetLost() {
	for id, lost := range c.lost {
		if c.workers[id] == nil && lost.settled() {
			delete(c.lost, id)
		}
	}
}
