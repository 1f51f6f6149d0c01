package cell

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianstand/internal/resource"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
	"gentianstand/internal/slack"
)

// worker is a worker and its accounting.
type worker struct {
	// Worker is the roster entry. It may still describe a previous incarnation.
	roster.Worker
	*incarnationState
	// idHash is a hash of the worker's id that breaks ties between equal workers.
	idHash uint64
	// pendingEntry is a roster entry of an incarnation that is not known yet or has ended.
	pendingEntry roster.Worker
	target       runner.Target
	used         resource.Amount
	// attempts are the runs that exist or may exist on the worker.
	attempts map[*attempt]struct{}
	// stored is set if the store lists the worker as one on which runs may be started.
	stored bool
	// storedByPreviousOwner is set if a previous owner had stored the worker.
	storedByPreviousOwner bool
	// cordoned is set while no run is started here. The store lists the worker as cordoned, or
	// is about to.
	cordoned bool
	// accounted is set if all runs that a previous owner can have left here are accounted for,
	// even if the worker has not reported.
	accounted bool
	// earlierLeaseUntil is when every lease granted before this ownership must have expired,
	// according to the previous owner. It is zero if unknown.
	earlierLeaseUntil time.Time
	// evacuating is set while the worker gets no new runs and is emptied because its machine
	// is about to be maintained.
	evacuating bool
	// parked is set while the worker is out of use until it is needed. unparkedAt is when it
	// was last needed, and idleSince is when its last run ended.
	parked     bool
	unparkedAt time.Time
	idleSince  time.Time
	// unlistedAt is when the worker disappeared from the roster, or zero. expiredInOutage is
	// set if the store had been unavailable then.
	unlistedAt      time.Time
	expiredInOutage bool
	// reserved is the reservation of the worker's capacity for a large task, or nil.
	reserved *reservation
	// isolatedFor is the job with a task that has a crash history and is starting here, or
	// nil.
	isolatedFor *jobState
	// speedClass is the class of its speed when the speeds were last read.
	speedClass slack.Class
	forecast   workerForecast
	// usablePass is the last planning pass in which the worker was usable.
	usablePass uint64
	// trialPass is the last planning pass in which the worker was a trial worker.
	trialPass uint64
	// bestEffort counts the best-effort runs, and latencySensitive the runs with a tail
	// latency target.
	bestEffort, latencySensitive int
	speed                        cachedSpeed
	// loggedSpeed is the speed factor in the last log line about it, or 0.
	loggedSpeed float64
}

func newWorker(r roster.Worker, now time.Time) *worker {
	return &worker{Worker: r, idHash: xxhash.Sum64String(r.ID), incarnationState: &incarnationState{incarnation: r.Incarnation, knownSince: now}, target: targetOf(r), attempts: map[*attempt]struct{}{}}
}

func targetOf(r roster.Worker) runner.Target {
	return runner.Target{ID: r.ID, Incarnation: r.Incarnation, Address: r.Address, Zone: r.Zone}
}

// free returns the unused part of the worker's capacity.
func (w *worker) free() resource.Amount { return w.Capacity.Sub(w.used) }

// addAttempt accounts for an attempt on the worker and in its workspace's quota.
func (w *worker) addAttempt(a *attempt) {
	w.attempts[a] = struct{}{}
	w.forecast.invalidate()
	step := a.task.stage.step
	w.used = w.used.Add(step.Occupied())
	if account := a.task.stage.job.account; account != nil {
		account.Allocate(step.Need)
	}
	a.task.stage.runsPerWorker[w]++
	a.task.stage.runs++
	if step.BestEffort {
		w.bestEffort++
	}
	if step.TailLatencyTarget > 0 {
		w.latencySensitive++
	}
}

// removeAttempt removes an attempt from the accounting.
func (w *worker) removeAttempt(a *attempt) {
	if _, ok := w.attempts[a]; !ok {
		return
	}
	delete(w.attempts, a)
	w.forecast.invalidate()
	step := a.task.stage.step
	w.used = w.used.Sub(step.Occupied())
	if account := a.task.stage.job.account; account != nil {
		account.Release(step.Need)
	}
	a.task.stage.runsPerWorker[w]--
	a.task.stage.runs--
	if step.BestEffort {
		w.bestEffort--
	}
	if step.TailLatencyTarget > 0 {
		w.latencySensitive--
	}
}

// usable reports whether new runs may be placed on the worker.
func (w *worker) usable(now time.Time) bool { return w.isReady(now) && !w.health.avoided(now) }

// isReady reports whether the worker can carry out new runs, regardless of its health.
func (w *worker) isReady(now time.Time) bool {
	if !w.reported || !w.entryIsCurrent() || !w.stored || w.cordoned || w.Draining || w.evacuating || w.stopOverdue || w.leaseWithheld() || now.Sub(w.lastReport) > maxReportAge {
		return false
	}
	return w.unlistedAt.IsZero() || w.expiredInOutage && now.Sub(w.unlistedAt) <= unlistedGrace
}

// entryIsCurrent reports whether the roster entry describes the worker's current incarnation.
// The next incarnation may have a different capacity and different labels.
func (w *worker) entryIsCurrent() bool {
	return w.Worker.Incarnation == 0 || w.Worker.Incarnation == w.incarnation
}

// estimateClock returns the estimated reading of the worker's clock at now.
func (w *worker) estimateClock(now time.Time) time.Duration {
	return w.clock + now.Sub(w.clockAt)
}

// leaseExpired reports whether the worker's lease must have expired, even if its clock runs as
// slowly as the platform allows.
func (w *worker) leaseExpired(now time.Time) bool {
	return !w.clockAt.IsZero() && !now.Before(w.leaseOverAt())
}

// leaseOverAt returns when the lease of a worker whose clock is known must have expired.
func (w *worker) leaseOverAt() time.Time {
	remaining := w.leaseEnd + expiryMargin - w.clock
	return w.clockAt.Add(time.Duration(float64(remaining) / (1 - maxClockDrift)))
}

// updateClock records the worker's clock from a report that arrived at now. The clock may be 0
// right after the worker's start.
func (w *worker) updateClock(clock time.Duration, now time.Time) {
	if w.clockAt.IsZero() || clock > w.clock {
		w.clock = clock
		w.clockAt = now
	}
}

// updateClockFromAnswer is updateClock for the answer to an order, which may lack a clock. Before the
// first report, the lease that a previous owner granted is not known, so that the clock would tell
// nothing.
func (w *worker) updateClockFromAnswer(answer runner.Answer, now time.Time) {
	if answer.Clock > 0 && !w.clockAt.IsZero() {
		w.updateClock(answer.Clock, now)
	}
}

// extendLease returns a new lease end and records it before it is sent.
func (w *worker) extendLease(lease time.Duration, now time.Time) time.Duration {
	w.leaseEnd = max(w.leaseEnd, w.estimateClock(now)+lease).Truncate(time.Millisecond)
	return w.leaseEnd
}
