package cell

import (
	"slices"
	"time"
)

const (
	// maxCrashes is after how many crashed workers a task is given up in any case.
	maxCrashes = 4
	// maxCrashesSoleSuspect is the same where the last crash has no other suspect and is not
	// correlated with others. Where it is, crashesAtOnce of them must have come as soon as
	// the task began.
	maxCrashesSoleSuspect = 2
	minImmediateCrashes   = 3
	// immediateCrashWindow is how soon after a start its worker falls silent if the task crashes
	// it: one call, and a look that breaks off.
	immediateCrashWindow = 100 * time.Millisecond
	// maxLosses is after how many lost workers a task is given up although it is not known
	// of all that they crashed: they may be back elsewhere, or never.
	maxLosses = 5
	// countUnconfirmedFrom is from how many lost workers on it does not matter whether they had
	// confirmed the starts.
	countUnconfirmedFrom = 3
	// backoffLosses is from how many lost workers on, of which some may yet turn out to
	// have crashed, a task pauses before a further start: for lossPause, by when most
	// workers that crashed are back, and then for longPause. Lasting tasks must not be
	// away for that long, and pause for lossPause each time.
	backoffLosses = 2
	shortBackoff  = 5 * time.Second
	longBackoff   = 10 * time.Second
)

// crashHistory is what is known of the workers that were lost while a task was starting
// there. A task that crashes each worker that starts it would otherwise take one down
// after the other; the crashes are counted with the task, in the store too, and it is
// given up.
type crashHistory struct {
	// crashed are the runs whose worker has crashed under them.
	crashed []uint64
	// immediate is how many of those workers fell silent as soon as the run had begun.
	immediate int
	// unresponsive are the runs whose worker fell unresponsive; whether it crashed is not known.
	unresponsive []uint64
	// lostAt is when a worker was last lost.
	lostAt time.Time
}

func (h *crashHistory) losses() int { return len(h.crashed) + len(h.unresponsive) }

func (h *crashHistory) hasLosses() bool { return h.losses() > 0 }

func (h *crashHistory) clear() { *h = crashHistory{lostAt: h.lostAt} }

// addUnresponsive notes that a run's worker fell silent, and reports whether that is new.
func (h *crashHistory) addUnresponsive(run uint64, now time.Time) bool {
	if slices.Contains(h.unresponsive, run) || slices.Contains(h.crashed, run) {
		return false
	}
	h.unresponsive = append(h.unresponsive, run)
	h.lostAt = now
	return true
}

// lostAtMillis returns when a worker was last lost, as it is stored.
func (h *crashHistory) lostAtMillis() int64 {
	if len(h.unresponsive) == 0 {
		return 0
	}
	return h.lostAt.UnixMilli()
}

// lostAtFrom returns a stored time on the steady clock of now. The time of day of another
// instance may be ahead or was set since: a pause lasts from now on at most.
func lostAtFrom(millis int64, now time.Time) time.Time {
	if millis == 0 {
		return now
	}
	return now.Add(-max(0, now.Sub(time.UnixMilli(millis))))
}

// removeUnresponsive takes a loss back: the worker did not crash under the run.
func (h *crashHistory) removeUnresponsive(run uint64) {
	h.unresponsive = slices.DeleteFunc(h.unresponsive, func(r uint64) bool { return r == run })
}

// addCrashed takes in that the worker crashed under the run; atOnce, as soon as it had
// begun.
func (h *crashHistory) addCrashed(run uint64, immediate bool) {
	h.removeUnresponsive(run)
	if slices.Contains(h.crashed, run) {
		return
	}
	h.crashed = append(h.crashed, run)
	if immediate {
		h.immediate++
	}
}

// backsOff reports whether a task that ends must not be started yet.
func (h *crashHistory) backsOff(now time.Time) bool { return h.backsOffAtMost(longBackoff, now) }

// backsOffAtMost is pauses for a task that pauses for no longer than most.
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

// isHopeless reports whether so many workers were lost that the task must not be started
// again, whatever became of them.
func (h *crashHistory) isHopeless() bool { return h.losses() >= maxLosses }

// lostMany reports whether so many workers were lost that a start without an answer counts
// like one that was confirmed.
func (h *crashHistory) lostMany() bool { return h.losses() >= countUnconfirmedFrom }

// isPoison reports whether the task crashes its workers. onlySuspect says that the last
// crash had no suspect of another job, correlated that other workers fell silent with it.
func (h *crashHistory) isPoison(onlySuspect, correlated bool) bool {
	n := len(h.crashed)
	switch {
	case n >= maxCrashes:
		return true
	case !onlySuspect || n < maxCrashesSoleSuspect:
		return false
	}
	return !correlated || h.immediate >= minImmediateCrashes
}
