package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/runner"
)

// youngFor is how long after its start a worker may get orders that were meant for the
// incarnation before it.
const youngFor = 10 * time.Second

// heardFrom notes which incarnation of a worker answered a look, and reports whether it is
// the present one.
func (c *Cell) heardFrom(w *worker, born runner.Born, sentAt, now time.Time) bool {
	switch {
	case born == 0 || born == w.incarnation:
	case w.incarnation == 0:
		w.incarnation, w.target.Born = born, born
	case w.follows && sentAt.Before(w.knownSince):
		// A late answer of one that has ended.
		return false
	default:
		c.restarted(w, born, now)
	}
	return true
}

// restarted begins the books on a new incarnation of a worker. What ran on the one before
// has ended, but for orders that were on their way: a start may be carried out by the new
// one. So runs stay booked until a report shows them or a stop has revoked them.
func (c *Cell) restarted(w *worker, born runner.Born, now time.Time) {
	c.log.WithFields(workerFields(w)).WithFields(logrus.Fields{"now_born": born, "runs": len(w.attempts),
		"seen": w.seen, "acknowledged": w.acked}).Info("worker_restarted")
	if c.lost[w.ID] == nil {
		c.noteSuspects(w, now)
	}
	c.workerCrashed(w.ID, now)
	c.logLost(w, "worker_restarted")
	w.life = &life{incarnation: born, knownSince: now, follows: true}
	w.target.Born = born
	w.Draining = false
	for a := range w.attempts {
		// A stop that the one before has answered revokes nothing on this one.
		a.stopSentAt, a.stopAnsweredAt, a.seenStopping = time.Time{}, time.Time{}, false
	}
	if w.unmatched.Born == born {
		c.describe(w, w.unmatched, now)
	}
}

// unseenLease returns how far a worker's lease may reach that is heard for the first time:
// an earlier owner may have extended it just before. An order that was meant for the
// incarnation before has a lease end on another clock, which a worker shortens to the
// longest one.
func (c *Cell) unseenLease(w *worker, now time.Time) time.Duration {
	if !w.follows && !w.young(now) {
		return c.settings.Lease
	}
	return c.longestLease()
}

// young reports whether a worker has just started, by the times of day of both.
func (w *worker) young(now time.Time) bool {
	return w.incarnation != 0 && now.UnixMilli()-int64(w.incarnation) < youngFor.Milliseconds()
}

func (c *Cell) longestLease() time.Duration { return max(c.settings.Lease, c.settings.LongestLease) }

// unheardLapsed reports whether the lease of a worker that has not told its clock must have
// ended.
func (c *Cell) unheardLapsed(w *worker, now time.Time) bool {
	if !w.follows {
		return now.Sub(c.began) >= c.unseenLimit()
	}
	return now.Sub(w.knownSince) >= time.Duration(float64(c.longestLease())*(1+clockDrift))+lapseMargin
}
