package cell

import (
	"slices"
	"time"
)

const (
	// mostCrashes is under how many workers that ended a task is given up in any case.
	mostCrashes = 4
	// crashesAlone is the same where no other job's task was on trial on the last one and it
	// ended without company, crashesAtOnce where it had company, but so many ended as soon
	// as the task began.
	crashesAlone  = 2
	crashesAtOnce = 3
	// atOnceWithin is how soon after a start its worker falls silent if the task ends it:
	// one call, and a look that breaks off.
	atOnceWithin = 100 * time.Millisecond
	// doubtlessLosses is from how many lost workers on it does not matter whether they had
	// confirmed the starts.
	doubtlessLosses = 3
	// pauseLosses is from how many lost workers on, of which some may yet turn out to
	// have ended, a task pauses before a further start: for lossPause, by when most
	// workers that ended are back, and then for longPause.
	pauseLosses = 2
	lossPause   = 5 * time.Second
	longPause   = 10 * time.Second
)

// suspicion is what speaks for a task ending the workers that start it.
//
// What can go wrong: a task ends each worker that starts it, and with it all that runs
// there. Started again without a limit it takes one worker down after the other. It shows
// as "run_lost" of the same task with little "work_ms" each time. So workers that are lost
// under a starting task are counted, in the store too, and the task is given up.
type suspicion struct {
	// crashed are the runs whose worker has ended under them.
	crashed []uint64
	// atOnce is how many of those workers fell silent as soon as the run had begun.
	atOnce int
	// open are the runs whose worker fell silent: whether it ended under them is not
	// known.
	open []uint64
	// lostAt is when a worker was last lost.
	lostAt time.Time
}

func (s *suspicion) losses() int { return len(s.crashed) + len(s.open) }

func (s *suspicion) any() bool { return s.losses() > 0 }

func (s *suspicion) clear() { *s = suspicion{lostAt: s.lostAt} }

// lost notes that a run's worker fell silent, and reports whether that is new.
func (s *suspicion) lost(run uint64, now time.Time) bool {
	if slices.Contains(s.open, run) || slices.Contains(s.crashed, run) {
		return false
	}
	s.open = append(s.open, run)
	s.lostAt = now
	return true
}

// workerLives takes a loss back: the worker did not end under the run.
func (s *suspicion) workerLives(run uint64) {
	s.open = slices.DeleteFunc(s.open, func(r uint64) bool { return r == run })
}

// workerEnded takes in that the worker ended under the run; atOnce, as soon as it had begun.
func (s *suspicion) workerEnded(run uint64, atOnce bool) {
	s.workerLives(run)
	if slices.Contains(s.crashed, run) {
		return
	}
	s.crashed = append(s.crashed, run)
	if atOnce {
		s.atOnce++
	}
}

// pauses reports whether the task must not be started yet.
func (s *suspicion) pauses(now time.Time) bool {
	if len(s.open) == 0 || s.losses() < pauseLosses {
		return false
	}
	pause := lossPause
	if s.losses() > pauseLosses {
		pause = longPause
	}
	return now.Sub(s.lostAt) < pause
}

// isDoubtless reports whether so many workers were lost under the task that a start without
// an answer counts like one that was confirmed.
func (s *suspicion) isDoubtless() bool { return s.losses() >= doubtlessLosses }

// isCertain reports whether the task ends its workers. alone says that no other job's task
// was on trial on the last one, company that others fell silent with it.
func (s *suspicion) isCertain(alone, company bool) bool {
	n := len(s.crashed)
	switch {
	case n >= mostCrashes:
		return true
	case !alone || n < crashesAlone:
		return false
	}
	return !company || s.atOnce >= crashesAtOnce
}
