package cell

import (
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// unrevokedStart is a start that was not answered, whose run was dropped because the worker's lease
// must have expired.
type unrevokedStart struct {
	task       job.TaskID
	stopSentAt time.Time
}

// lateStartLimit is how long after it left the roster a worker may still carry out a start. It bounds how
// long a worker that is gone stays known.
const lateStartLimit = 30 * time.Second

// mayStartLate reports whether a worker that has left the roster may still carry out a start, if it comes
// back.
func (w *worker) mayStartLate(now time.Time) bool {
	return len(w.unrevoked) > 0 && now.Sub(w.unlistedAt) < lateStartLimit
}

// leaseWithheld reports whether the worker's lease must not be extended.
func (w *worker) leaseWithheld() bool { return w.lapsing || len(w.unrevoked) > 0 }

// keepUnrevoked records which of a worker's runs may have a start that can still arrive, before they
// are dropped because the lease must have expired. A run that the worker has confirmed has ended
// there, so that no start of it is accepted any more.
func (w *worker) keepUnrevoked() {
	for a := range w.attempts {
		if a.mayStartLate() {
			if w.unrevoked == nil {
				w.unrevoked = map[runKey]*unrevokedStart{}
			}
			w.unrevoked[runKey{a.task.id().String(), a.run}] = &unrevokedStart{task: a.task.id(), stopSentAt: a.stopSentAt}
		}
	}
}

// mayStartLate reports whether a start of a run may still arrive: no answer has confirmed the run, or it
// is being stopped without an answer.
func (a *attempt) mayStartLate() bool {
	return a.confirmedAt.IsZero() || (a.phase == stopping && a.stopAnsweredAt.IsZero() && !a.adopted)
}

// revokeStarts sends the stops of a responsive worker's unrevoked starts.
func (c *Cell) revokeStarts(w *worker, now time.Time) {
	if !w.unresponsiveSince.IsZero() {
		return
	}
	for key, u := range w.unrevoked {
		if now.Sub(u.stopSentAt) > stopResendAfter {
			u.stopSentAt = now
			c.orders = append(c.orders, StopOrder{Worker: w.target, Task: u.task, Stop: runner.Stop{Task: key.task, Run: key.run, Token: c.settings.Term}})
		}
	}
}
