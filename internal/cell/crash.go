package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/job"
)

// failedLooks is how many looks in a row get no answer from a worker that ended: single
// answers get lost. It is stored within some ten milliseconds then, before an owner that
// is lost next takes the knowledge with it.
const failedLooks = 2

// watchSilence accuses the runs on a worker that fell silent while they were starting.
func (c *Cell) watchSilence(w *worker, now time.Time) {
	if (w.silent(now) || w.failedLooks >= failedLooks) && c.lost[w.ID] == nil {
		c.accuse(w, now)
	}
}

// accuse notes the runs that may have ended a worker: those that were not yet seen at
// work for provenAfter. Work that went on there for longer is a victim. Nothing is held
// against work on a worker that was about to leave.
func (c *Cell) accuse(w *worker, now time.Time) {
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
		if a.proven || a.inherited {
			continue
		}
		lost.runs = append(lost.runs, lost.accuse(a))
		if a.task.suspicion.lost(a.run, now) {
			c.dirty[a.task.stage.job] = struct{}{}
			c.tryOthers(a)
		}
		c.known.changed(w.ID)
	}
}

// tryOthers puts the other runs of a task on trial.
func (c *Cell) tryOthers(a *attempt) {
	for _, other := range a.task.attempts {
		if other != a && !other.proven {
			c.trials[other] = struct{}{}
		}
	}
}

// acquit takes back what was held against runs on a worker: it lives, or its end had
// another cause.
func (c *Cell) acquit(id string) {
	lost := c.lost[id]
	if lost == nil {
		return
	}
	delete(c.lost, id)
	for _, r := range lost.runs {
		r.task.suspicion.workerLives(r.run)
		c.dirty[r.task.stage.job] = struct{}{}
		c.known.changed(id)
	}
}

// crashed takes in that a worker has ended by itself. If tasks were on trial there, it was
// one of them; otherwise any that was starting.
func (c *Cell) crashed(id string, now time.Time) {
	lost := c.lost[id]
	if lost == nil {
		return
	}
	delete(c.lost, id)
	guilty := lost.mostLikely()
	for _, r := range lost.runs {
		if r.begun() {
			r.task.suspicion.workerLives(r.run)
			c.dirty[r.task.stage.job] = struct{}{}
		}
		c.known.changed(id)
	}
	alone, company := sameJob(guilty), c.silences.withCompany(lost.since)
	for _, r := range guilty {
		r.task.suspicion.workerEnded(r.run, r.atOnce)
		c.log.WithFields(logrus.Fields{"task": r.task.id().String(), "run": r.run, "worker": id,
			"crashes": len(r.task.suspicion.crashed), "alone": alone, "company": company}).Info("worker_ended_under_run")
	}
	for _, r := range guilty {
		if r.task.suspicion.isCertain(alone, company) {
			c.giveUp(r.task, now)
		}
	}
}

// mostLikely returns the runs of which one ended the worker: those of tasks under which
// other workers were lost, too, or else all.
func (l *lostWorker) mostLikely() []accusedRun {
	var begun, repeated []accusedRun
	for _, r := range l.runs {
		if !r.stands() || !r.begun() {
			continue
		}
		begun = append(begun, r)
		if r.repeated() {
			repeated = append(repeated, r)
		}
	}
	if len(repeated) > 0 {
		return repeated
	}
	return begun
}

// sameJob reports whether all runs are of one job.
func sameJob(runs []accusedRun) bool {
	for _, r := range runs {
		if r.task.stage.job != runs[0].task.stage.job {
			return false
		}
	}
	return true
}

// giveUp ends the job of a task that ends its workers.
func (c *Cell) giveUp(t *task, now time.Time) {
	j := t.stage.job
	if t.done || j.final != "" {
		return
	}
	c.stats.GivenUp++
	c.log.WithFields(logrus.Fields{"job": j.record.ID, "task": t.id().String(), "crashes": len(t.suspicion.crashed)}).Warn("job_given_up")
	c.end(j, job.Failed, now)
}

// crashedAt takes in that a worker with another id answers at an address: those before
// it have ended.
func (c *Cell) crashedAt(address, id string, now time.Time) {
	for before, lost := range c.lost {
		if lost.address == address && before != id {
			c.crashed(before, now)
		}
	}
}

// inheritLost takes in what an earlier owner stored of a worker that had fallen silent.
func (c *Cell) inheritLost(w *worker, runs []KnownRun) {
	lost := &lostWorker{address: w.Address}
	for _, r := range runs {
		if t := c.taskNamed(r.Task); t != nil {
			lost.runs = append(lost.runs, accusedRun{task: t, run: r.Run, confirmed: true})
		}
	}
	if len(lost.runs) > 0 {
		c.lost[w.ID] = lost
	}
}

// forgetLost drops what nothing depends on any more of workers that are not known now.
func (c *Cell) forgetLost() {
	for id, lost := range c.lost {
		if c.workers[id] == nil && lost.settled() {
			delete(c.lost, id)
		}
	}
}
