package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/runner"
)

// heardFrom notes which incarnation of a worker answered a look, and reports whether it is
// the present one.
func (c *Cell) heardFrom(w *worker, born runner.Incarnation, sentAt, now time.Time) bool {
	switch {
	case born == 0 || born == w.incarnation:
	case w.incarnation == 0:
		c.setIncarnation(w, born)
	case w.before != 0 && sentAt.Before(w.knownSince):
		// A late answer of one that has ended.
		return false
	default:
		c.restarted(w, born, now)
	}
	return true
}

// setIncarnation notes which incarnation of a worker the books are about.
func (c *Cell) setIncarnation(w *worker, born runner.Incarnation) {
	w.incarnation, w.target.Incarnation = born, born
	c.known.changed(w.ID)
}

// restarted begins the books on a new incarnation of a worker. The one before has crashed
// with all that ran there, and no order that was meant for it reaches the new one.
func (c *Cell) restarted(w *worker, born runner.Incarnation, now time.Time) {
	c.log.WithFields(workerFields(w)).WithFields(logrus.Fields{"now_born": born, "runs": len(w.attempts),
		"seen": w.seen, "acknowledged": w.acked}).Info("worker_restarted")
	if c.lost[w.ID] == nil {
		c.noteSuspects(w, now)
	}
	c.workerCrashed(w.ID, now)
	c.loseAll(w, "worker_restarted", now)
	w.life = &life{knownSince: now, before: w.incarnation}
	w.Draining = false
	// No earlier owner can have stored this incarnation, and so started anything there.
	w.accounted = true
	// An overtaken owner may have heard of it, too: the one that can store that it is
	// known may use it.
	w.saved = false
	c.setIncarnation(w, born)
	if w.unmatched.Incarnation == born {
		c.describe(w, w.unmatched, now)
	}
}
