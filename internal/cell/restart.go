package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/runner"
)

// checkIncarnation notes which incarnation of a worker answered a look, and reports whether it is
// the present one.
func (c *Cell) checkIncarnation(w *worker, incarnation runner.Incarnation, sentAt, now time.Time) bool {
	switch {
	case incarnation == 0 || incarnation == w.incarnation:
	case w.incarnation == 0:
		c.setIncarnation(w, incarnation)
	case w.previous != 0 && sentAt.Before(w.knownSince):
		// A late answer of one that has ended.
		return false
	default:
		c.workerRestarted(w, incarnation, now)
	}
	return true
}

// setIncarnation notes which incarnation of a worker the books are about.
func (c *Cell) setIncarnation(w *worker, incarnation runner.Incarnation) {
	w.incarnation, w.target.Incarnation = incarnation, incarnation
	c.dirtyChunks.mark(w.ID)
}

// workerRestarted begins the books on a new incarnation of a worker. The one before has crashed
// with all that ran there, and no order that was meant for it reaches the new one.
func (c *Cell) workerRestarted(w *worker, incarnation runner.Incarnation, now time.Time) {
	c.log.WithFields(workerFields(w)).WithFields(logrus.Fields{"now_born": incarnation, "runs": len(w.attempts),
		"seen": w.seenEnd, "acknowledged": w.ackedEnd}).Info("worker_restarted")
	if c.lostWorkers[w.ID] == nil {
		c.recordSuspects(w, now)
	}
	c.workerCrashed(w.ID, now)
	c.dropAllRuns(w, "worker_restarted", now)
	w.incarnationState = &incarnationState{knownSince: now, previous: w.incarnation}
	w.Draining = false
	// No earlier owner can have stored this incarnation, and so started anything there.
	w.accounted = true
	// An overtaken owner may have heard of it, too: the one that can store that it is
	// known may use it.
	w.stored = false
	c.setIncarnation(w, incarnation)
	if w.pendingEntry.Incarnation == incarnation {
		c.updateEntry(w, w.pendingEntry, now)
	}
}
