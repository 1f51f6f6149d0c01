package cell

import "time"

// lostWorker is a worker that became unresponsive, and the runs that may have crashed it.
type lostWorker struct {
	address string
	// unresponsiveSince is when the worker became unresponsive.
	unresponsiveSince time.Time
	suspects          []suspectRun
}

// addSuspect adds a run that was starting.
func (l *lostWorker) addSuspect(a *attempt) {
	confirmed := !a.confirmedAt.IsZero()
	soon := l.unresponsiveSince.Sub(a.confirmedAt) <= immediateCrashWindow
	l.suspects = append(l.suspects, suspectRun{task: a.task, run: a.run, confirmed: confirmed, immediate: confirmed && soon, later: confirmed && !soon})
}

// knownRuns returns the suspects in their stored form: the confirmed ones or the others.
func (l *lostWorker) knownRuns(confirmed bool) []KnownRun {
	var runs []KnownRun
	for _, r := range l.suspects {
		if r.confirmed == confirmed {
			runs = append(runs, KnownRun{Task: r.task.id().String(), Run: r.run})
		}
	}
	return runs
}

// blamed returns the suspects of which one crashed the worker: those of tasks under which
// other workers were lost as well, or else all that had begun.
func (l *lostWorker) blamed() []suspectRun {
	var begun, repeated []suspectRun
	for _, r := range l.suspects {
		if r.cleared() || !r.hasBegun() {
			continue
		}
		begun = append(begun, r)
		if r.repeated() {
			repeated = append(repeated, r)
		}
	}
	if len(repeated) > 0 {
		return repeated
	}
	return begun
}

// settled reports whether the fate of the worker no longer matters to any suspect.
func (l *lostWorker) settled() bool {
	for _, r := range l.suspects {
		if !r.task.done && r.task.stage.job.final == "" {
			return false
		}
	}
	return true
}

// sameJob reports whether all runs belong to one job.
func sameJob(runs []suspectRun) bool {
	for _, r := range runs {
		if r.task.stage.job != runs[0].task.stage.job {
			return false
		}
	}
	return true
}
