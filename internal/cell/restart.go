package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/runner"
)

// checkIncarnation records which incarnation of a worker answered a poll, and reports whether
// it is the current one.
func (c *Cell) checkIncarnation(w *worker, incarnation runner.Incarnation, sentAt, now time.Time) bool {
	switch {
	case incarnation == 0 || incarnation == w.incarnation:
	case w.incarnation == 0:
		c.setIncarnation(w, incarnation)
	case w.previous != 0 && sentAt.Before(w.knownSince):
		// A late answer of a previous incarnation.
		return false
	default:
		c.workerRestarted(w, incarnation, now)
	}
	return true
}

// setIncarnation sets the current incarnation of a worker.
func (c *Cell) setIncarnation(w *worker, incarnation runner.Incarnation) {
	w.incarnation, w.target.Incarnation = incarnation, incarnation
	c.dirtyChunks.mark(w.ID)
}

// workerRestarted starts the accounting of a new incarnation of a worker. The previous one has
// crashed with all its runs, and no order addressed to it is accepted by the new one.
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
	c.speeds.Forget(w.ID)
	// A superseded owner may have learned of the incarnation as well. Only the owner that can
	// store it may use it.
	w.stored = false
	c.setIncarnation(w, incarnation)
	if w.pendingEntry.Incarnation == incarnation {
		c.updateEntry(w, w.pendingEntry, now)
	}
}
