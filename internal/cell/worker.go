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
	*incarnationState
	// idHash is drawn by its id, for choices among equals.
	idHash uint64
	// pendingEntry is an entry of an incarnation that is not known yet, or has ended.
	pendingEntry roster.Worker
	target       runner.Target
	used         resource.Amount
	// attempts are the runs that are or may be on the worker.
	attempts map[*attempt]struct{}
	// stored says that the store names the worker among those on which runs may be
	// started.
	stored bool
	// storedByPreviousOwner says that an earlier owner had stored the worker.
	storedByPreviousOwner bool
	// cordoned says that nothing is started here until the worker is open again, and
	// that the store was or is being told so.
	cordoned bool
	// accounted says that the runs that an earlier owner can have left here are
	// booked, also if the worker has not reported.
	accounted bool
	// earlierLeaseUntil is when, as an earlier owner told, every lease that was given before
	// this owner must have ended, or zero.
	earlierLeaseUntil time.Time
	// evacuating says that the worker gets nothing new and is emptied, because its
	// machine is about to have its upkeep.
	evacuating bool
	// parked says that the worker is out of use until it is needed; wokenAt is when
	// it was needed last, and idleSince since when it has no runs.
	parked     bool
	unparkedAt time.Time
	idleSince  time.Time
	// unlistedAt is when it vanished from the roster, or zero; lapsedInOutage says that the
	// store had been away then.
	unlistedAt      time.Time
	expiredInOutage bool
	// reserved keeps the worker's room for a large task, or is nil.
	reserved *reservation
	// isolatedFor is the job of which a task with a crash history is starting here, or nil.
	isolatedFor *jobState
	// usablePass is the last planning pass in which the worker was usable.
	usablePass uint64
	// trialPass is the last planning pass in which the worker could be tried although it was
	// avoided.
	trialPass uint64
	// bestEffort and latencySensitive count runs that fill and runs with a tail target.
	bestEffort, latencySensitive int
}

func newWorker(r roster.Worker, now time.Time) *worker {
	return &worker{Worker: r, idHash: xxhash.Sum64String(r.ID), incarnationState: &incarnationState{incarnation: r.Incarnation, knownSince: now}, target: targetOf(r), attempts: map[*attempt]struct{}{}}
}

func targetOf(r roster.Worker) runner.Target {
	return runner.Target{ID: r.ID, Incarnation: r.Incarnation, Address: r.Address, Zone: r.Zone}
}

// free returns what is left of the worker's capacity.
func (w *worker) free() resource.Amount { return w.Capacity.Sub(w.used) }

// addAttempt books an attempt.
func (w *worker) addAttempt(a *attempt) {
	w.attempts[a] = struct{}{}
	step := a.task.stage.step
	w.used = w.used.Add(step.Occupied())
	if account := a.task.stage.job.account; account != nil {
		account.Allocate(step.Need)
	}
	a.task.stage.runsPerWorker[w]++
	if step.BestEffort {
		w.bestEffort++
	}
	if step.TailLatencyTarget > 0 {
		w.latencySensitive++
	}
}

// removeAttempt takes an attempt out of the books.
func (w *worker) removeAttempt(a *attempt) {
	if _, ok := w.attempts[a]; !ok {
		return
	}
	delete(w.attempts, a)
	step := a.task.stage.step
	w.used = w.used.Sub(step.Occupied())
	if account := a.task.stage.job.account; account != nil {
		account.Release(step.Need)
	}
	a.task.stage.runsPerWorker[w]--
	if step.BestEffort {
		w.bestEffort--
	}
	if step.TailLatencyTarget > 0 {
		w.latencySensitive--
	}
}

// usable reports whether new runs may be placed on the worker.
func (w *worker) usable(now time.Time) bool { return w.isReady(now) && !w.health.avoided(now) }

// isReady reports whether the worker can carry out new runs, however runs end there.
func (w *worker) isReady(now time.Time) bool {
	if !w.reported || !w.entryIsCurrent() || !w.stored || w.cordoned || w.Draining || w.evacuating || now.Sub(w.lastReport) > maxReportAge {
		return false
	}
	return w.unlistedAt.IsZero() || w.expiredInOutage && now.Sub(w.unlistedAt) <= unlistedGrace
}

// entryIsCurrent reports whether the worker's entry in the roster is one of its present
// incarnation: the next one may have other room and another kind.
func (w *worker) entryIsCurrent() bool {
	return w.Worker.Incarnation == 0 || w.Worker.Incarnation == w.incarnation
}

// estimateClock returns our best guess of the worker's clock.
func (w *worker) estimateClock(now time.Time) time.Duration {
	return w.clock + now.Sub(w.clockAt)
}

// leaseExpired reports whether the worker's lease must have ended, even if its clock
// runs as slow as the platform allows.
func (w *worker) leaseExpired(now time.Time) bool {
	return !w.clockAt.IsZero() && !now.Before(w.leaseOverAt())
}

// leaseOverAt returns when the lease must have ended of a worker whose clock is known.
func (w *worker) leaseOverAt() time.Time {
	remaining := w.leaseEnd + expiryMargin - w.clock
	return w.clockAt.Add(time.Duration(float64(remaining) / (1 - maxClockDrift)))
}

// updateClock takes in the worker's clock from a report that arrived at now. It may be 0 right
// after the start.
func (w *worker) updateClock(clock time.Duration, now time.Time) {
	if w.clockAt.IsZero() || clock > w.clock {
		w.clock = clock
		w.clockAt = now
	}
}

// updateClockFromAnswer is sawClock for the answer to an order, which may have none.
func (w *worker) updateClockFromAnswer(answer runner.Answer, now time.Time) {
	if answer.Clock > 0 {
		w.updateClock(answer.Clock, now)
	}
}

// extendLease returns a new lease end and books it before it is sent.
func (w *worker) extendLease(lease time.Duration, now time.Time) time.Duration {
	w.leaseEnd = max(w.leaseEnd, w.estimateClock(now)+lease).Truncate(time.Millisecond)
	return w.leaseEnd
}
