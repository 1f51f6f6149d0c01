package cell

import "time"

// lostWorker is a worker that fell silent, and the runs that may have ended it.
type lostWorker struct {
	address string
	// since is when it fell silent.
	since time.Time
	runs  []accusedRun
}

// accuse returns the accusation of a run.
func (l *lostWorker) accuse(a *attempt) accusedRun {
	confirmed := !a.confirmedAt.IsZero()
	return accusedRun{task: a.task, run: a.run, confirmed: confirmed, atOnce: confirmed && l.since.Sub(a.confirmedAt) <= atOnceWithin}
}

// known returns the runs as they are stored.
func (l *lostWorker) known() []KnownRun {
	var runs []KnownRun
	for _, r := range l.runs {
		if r.confirmed {
			runs = append(runs, KnownRun{Task: r.task.id().String(), Run: r.run})
		}
	}
	return runs
}

// settled reports whether nothing depends any more on what became of the worker.
func (l *lostWorker) settled() bool {
	for _, r := range l.runs {
		if !r.task.done && r.task.stage.job.final == "" {
			return false
		}
	}
	return true
}
