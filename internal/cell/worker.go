package cell

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianstand/internal/resource"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// worker is a worker and the cell's books about it.
type worker struct {
	// Worker is its entry in the roster, which may still be one of an incarnation before.
	roster.Worker
	*life
	// lot is drawn by its id, for choices among equals.
	lot uint64
	// unmatched is an entry of an incarnation that is not known yet, or has ended.
	unmatched roster.Worker
	target    runner.Target
	used      resource.Amount
	// attempts are the runs that are or may be on the worker.
	attempts map[*attempt]struct{}
	// saved says that the store names the worker among those on which runs may be
	// started.
	saved bool
	// named says that an earlier owner had stored the worker.
	named bool
	// closed says that nothing is started here until the worker is open again, and
	// that the store was or is being told so.
	closed bool
	// accounted says that the runs that an earlier owner can have left here are
	// booked, also if the worker has not reported.
	accounted bool
	// inheritedUntil is when, as an earlier owner told, every lease that was given before
	// this owner must have ended, or zero.
	inheritedUntil time.Time
	// evacuating says that the worker gets nothing new and is emptied, because its
	// machine is about to have its upkeep.
	evacuating bool
	// parked says that the worker is out of use until it is needed; wokenAt is when
	// it was needed last, and idleSince since when it has no runs.
	parked    bool
	wokenAt   time.Time
	idleSince time.Time
	// unlistedAt is when it vanished from the roster, or zero; lapsedInOutage says that the
	// store had been away then.
	unlistedAt     time.Time
	lapsedInOutage bool
	// reserved keeps the worker's room for a large task, or is nil.
	reserved *reservation
	// isolatedFor is the job of which a task with a crash history is starting here, or nil.
	isolatedFor *jobState
	// usableIn is the last planning pass in which the worker was usable.
	usableIn uint64
	// onTrialIn is the last planning pass in which the worker could be tried although it was
	// avoided.
	onTrialIn uint64
	// fillers and servers count runs that fill and runs with a tail target.
	fillers, servers int
}

func newWorker(r roster.Worker, now time.Time) *worker {
	return &worker{Worker: r, lot: xxhash.Sum64String(r.ID), life: &life{incarnation: r.Incarnation, knownSince: now}, target: targetOf(r), attempts: map[*attempt]struct{}{}}
}

func targetOf(r roster.Worker) runner.Target {
	return runner.Target{ID: r.ID, Incarnation: r.Incarnation, Address: r.Address, Zone: r.Zone}
}

// free returns what is left of the worker's capacity.
func (w *worker) free() resource.Amount { return w.Capacity.Sub(w.used) }

// add books an attempt.
func (w *worker) add(a *attempt) {
	w.attempts[a] = struct{}{}
	step := a.task.stage.step
	w.used = w.used.Add(step.Occupied())
	if account := a.task.stage.job.account; account != nil {
		account.Book(step.Need)
	}
	a.task.stage.perWorker[w]++
	if step.BestEffort {
		w.fillers++
	}
	if step.TailLatencyTarget > 0 {
		w.servers++
	}
}

// remove takes an attempt out of the books.
func (w *worker) remove(a *attempt) {
	if _, ok := w.attempts[a]; !ok {
		return
	}
	delete(w.attempts, a)
	step := a.task.stage.step
	w.used = w.used.Sub(step.Occupied())
	if account := a.task.stage.job.account; account != nil {
		account.Release(step.Need)
	}
	a.task.stage.perWorker[w]--
	if step.BestEffort {
		w.fillers--
	}
	if step.TailLatencyTarget > 0 {
		w.servers--
	}
}

// usable reports whether new runs may be placed on the worker.
func (w *worker) usable(now time.Time) bool { return w.ready(now) && !w.health.avoided(now) }

// ready reports whether the worker can carry out new runs, however runs end there.
func (w *worker) ready(now time.Time) bool {
	if !w.reported || !w.described() || !w.saved || w.closed || w.Draining || w.evacuating || now.Sub(w.lastReport) > reportFresh {
		return false
	}
	return w.unlistedAt.IsZero() || w.lapsedInOutage && now.Sub(w.unlistedAt) <= unlistedGrace
}

// described reports whether the worker's entry in the roster is one of its present
// incarnation: the next one may have other room and another kind.
func (w *worker) described() bool {
	return w.Worker.Incarnation == 0 || w.Worker.Incarnation == w.incarnation
}

// clockGuess returns our best guess of the worker's clock.
func (w *worker) clockGuess(now time.Time) time.Duration {
	return w.clock + now.Sub(w.clockAt)
}

// lapsed reports whether the worker's lease must have ended, even if its clock
// runs as slow as the platform allows.
func (w *worker) lapsed(now time.Time) bool {
	return !w.clockAt.IsZero() && !now.Before(w.leaseOver())
}

// leaseOver returns when the lease must have ended of a worker whose clock is known.
func (w *worker) leaseOver() time.Time {
	left := w.leaseEnd + lapseMargin - w.clock
	return w.clockAt.Add(time.Duration(float64(left) / (1 - clockDrift)))
}

// sawClock takes in the worker's clock from a report that arrived at now. It may be 0 right
// after the start.
func (w *worker) sawClock(clock time.Duration, now time.Time) {
	if w.clockAt.IsZero() || clock > w.clock {
		w.clock = clock
		w.clockAt = now
	}
}

// sawClockOf is sawClock for the answer to an order, which may have none.
func (w *worker) sawClockOf(answer runner.Answer, now time.Time) {
	if answer.Clock > 0 {
		w.sawClock(answer.Clock, now)
	}
}

// extendLease returns a new lease end and books it before it is sent.
func (w *worker) extendLease(lease time.Duration, now time.Time) time.Duration {
	w.leaseEnd = max(w.leaseEnd, w.clockGuess(now)+lease).Truncate(time.Millisecond)
	return w.leaseEnd
}
