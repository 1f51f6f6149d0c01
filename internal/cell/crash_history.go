package cell

import (
	"slices"
	"time"
)

const (
	// maxCrashes is the number of crashed workers after which a task fails in any case.
	maxCrashes = 4
	// maxCrashesSoleSuspect is the limit if the last crash has no suspect of another job. If
	// that crash is correlated with other failures, minImmediateCrashes of the crashes must
	// also have come immediately after a start.
	maxCrashesSoleSuspect = 2
	minImmediateCrashes   = 3
	// immediateCrashWindow is how soon after a start the worker becomes unresponsive if the
	// task crashes it: one call and an interrupted poll.
	immediateCrashWindow = 100 * time.Millisecond
	// maxLosses is the number of lost workers after which a task fails even if not all of them
	// are known to have crashed. Lost workers may have come back elsewhere, or may never come
	// back.
	maxLosses = 5
	// countUnconfirmedFrom is the number of lost workers from which losses count whether or
	// not the worker had confirmed the start.
	countUnconfirmedFrom = 3
	// backoffLosses is the number of lost workers, some of which may yet turn out to have
	// crashed, from which a task backs off before its next start. At this number it waits for
	// shortBackoff, by when most crashed workers are back, and above it for longBackoff.
	// Long-running tasks must not be down that long and wait for shortBackoff each time.
	backoffLosses = 2
	shortBackoff  = 5 * time.Second
	longBackoff   = 10 * time.Second
)

// crashHistory records the workers that were lost while a task was starting on them. Without
// it, a task that crashes every worker it starts on would take them down one after another.
// The crashes are counted per task, also in the store, until the task's job fails.
type crashHistory struct {
	// crashed are the runs under which the worker crashed.
	crashed []uint64
	// immediate is how many of those workers became unresponsive as soon as the run had begun.
	immediate int
	// later is how many of them became unresponsive only some time after the run had begun. For
	// the others that is not known.
	later int
	// unresponsive are the runs whose worker became unresponsive without being known to have
	// crashed.
	unresponsive []uint64
	// lostAt is when a worker was last lost.
	lostAt time.Time
}

func (h *crashHistory) losses() int { return len(h.crashed) + len(h.unresponsive) }

func (h *crashHistory) hasLosses() bool { return h.losses() > 0 }

func (h *crashHistory) clear() { *h = crashHistory{lostAt: h.lostAt} }

// addUnresponsive records that a run's worker became unresponsive, and reports whether that is
// new.
func (h *crashHistory) addUnresponsive(run uint64, now time.Time) bool {
	if slices.Contains(h.unresponsive, run) || slices.Contains(h.crashed, run) {
		return false
	}
	h.unresponsive = append(h.unresponsive, run)
	h.lostAt = now
	return true
}

// lostAtMillis returns the stored form of lostAt, or 0 if it need not be stored.
func (h *crashHistory) lostAtMillis() int64 {
	if len(h.unresponsive) == 0 {
		return 0
	}
	return h.lostAt.UnixMilli()
}

// lostAtFrom converts a stored time to the monotonic clock of now. The wall clock of another
// instance may be ahead, or may have been set since, so the result is never after now and a
// backoff never extends beyond its full length from now.
func lostAtFrom(millis int64, now time.Time) time.Time {
	if millis == 0 {
		return now
	}
	return now.Add(-max(0, now.Sub(time.UnixMilli(millis))))
}

// removeUnresponsive reverts a loss: the worker did not crash under the run.
func (h *crashHistory) removeUnresponsive(run uint64) {
	h.unresponsive = slices.DeleteFunc(h.unresponsive, func(r uint64) bool { return r == run })
}

// addCrashed records that the worker crashed under the run of a suspect.
func (h *crashHistory) addCrashed(r suspectRun) {
	h.removeUnresponsive(r.run)
	if slices.Contains(h.crashed, r.run) {
		return
	}
	h.crashed = append(h.crashed, r.run)
	if r.immediate {
		h.immediate++
	}
	if r.later {
		h.later++
	}
}

// backsOff reports whether a task that is not long-running must not be started yet.
func (h *crashHistory) backsOff(now time.Time) bool { return h.backsOffAtMost(longBackoff, now) }

// backsOffAtMost is backsOff with at most the given delay.
func (h *crashHistory) backsOffAtMost(limit time.Duration, now time.Time) bool {
	if len(h.unresponsive) == 0 || h.losses() < backoffLosses {
		return false
	}
	backoff := shortBackoff
	if h.losses() > backoffLosses {
		backoff = limit
	}
	return now.Sub(h.lostAt) < backoff
}

// reachedLossLimit reports whether so many workers were lost that the task must not be started
// again, whether or not they crashed.
func (h *crashHistory) reachedLossLimit() bool { return h.losses() >= maxLosses }

// lostMany reports whether so many workers were lost that an unanswered start counts like a
// confirmed one.
func (h *crashHistory) lostMany() bool { return h.losses() >= countUnconfirmedFrom }

// isPoison reports whether the task crashes its workers. onlySuspect is set if the last crash
// had no suspect of another job, and correlated if other workers became unresponsive at the
// same time, or crash by themselves.
func (h *crashHistory) isPoison(onlySuspect, correlated bool) bool {
	n := len(h.crashed)
	switch {
	case n >= maxCrashes:
		return true
	case !onlySuspect || n < maxCrashesSoleSuspect:
		return false
	}
	if h.later > 0 {
		// Two workers may crash by themselves under the same task within survivedAfter. A task
		// that crashes its workers does so as soon as it starts, or reaches maxCrashes.
		return false
	}
	return !correlated || h.immediate >= minImmediateCrashes
}
