package cell

import (
	"cmp"
	"slices"
	"time"
)

// survivedAfter is how long a run must have been seen at work to count as one that does not
// crash its worker. A poison task does so at once; a longer time would keep more workers
// isolated.
const survivedAfter = 500 * time.Millisecond

// startingWeight makes a run of another job that is starting count more, on a worker for an
// isolated run, than any number of runs that have survived: it could be blamed for the
// crash.
const startingWeight = 1000

// recordSurvival takes in that a run was seen at work: if it were one that crashes its worker,
// it would have done so.
func (c *Cell) recordSurvival(a *attempt, now time.Time) {
	if a.survived || now.Sub(a.confirmedAt) < survivedAfter {
		return
	}
	a.survived = true
	c.clearCrashes(a.task)
}

// clearCrashes forgets the crash history of a task: one of its runs did not crash its
// worker.
func (c *Cell) clearCrashes(t *task) {
	if t.crashes.hasLosses() {
		t.crashes.clear()
		c.dirtyJobs[t.stage.job] = struct{}{}
	}
}

// isolated reports whether nothing of another job may be started beside a run: it would be
// lost if this one crashes the worker, and could be blamed for that.
func (a *attempt) isolated() bool { return !a.survived && a.task.crashes.hasLosses() }

// isolate keeps other jobs off the worker of a new run if its task has a crash history.
func (c *Cell) isolate(a *attempt) {
	if a.isolated() {
		c.isolatedRuns[a] = struct{}{}
		a.worker.isolatedFor = a.task.stage.job
	}
}

// isolateOthers isolates the other runs of a task whose run became a suspect.
func (c *Cell) isolateOthers(a *attempt) {
	for _, other := range a.task.attempts {
		if other != a {
			c.isolate(other)
		}
	}
}

// markIsolated notes on each worker for which job it is isolated.
func (c *Cell) markIsolated() {
	for a := range c.isolatedRuns {
		if !a.isolated() {
			delete(c.isolatedRuns, a)
			continue
		}
		a.worker.isolatedFor = a.task.stage.job
	}
}

// acceptsJob reports whether a job's tasks may be started on a worker that may be isolated.
func (w *worker) acceptsJob(j *jobState) bool { return w.isolatedFor == nil || w.isolatedFor == j }

// weightAtRisk tells how much of other jobs would be lost with a worker.
func (w *worker) weightAtRisk(j *jobState) int {
	n := 0
	for a := range w.attempts {
		switch {
		case a.task.stage.job == j:
		case a.survived:
			n++
		default:
			n += startingWeight
		}
	}
	return n
}

// pickIsolated returns the candidate on which a task with a crash history puts least at
// risk, or -1.
func (c *Cell) pickIsolated(s *stage, t *task, fitting []candidate, now time.Time) int {
	best, least := -1, 0
	// The emptiest come last.
	for i := len(fitting) - 1; i >= 0; i-- {
		w := fitting[i].w
		if !c.canPlace(s, t, w, now) {
			continue
		}
		n := w.weightAtRisk(s.job)
		if n == 0 {
			return i
		}
		if best < 0 || n < least {
			best, least = i, n
		}
	}
	return best
}

// sortByRisk sorts the candidates for a gang of which a task has a crash history.
func (s *stage) sortByRisk(fitting []candidate) []candidate {
	if !s.lostWorkers || !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.crashes.hasLosses() }) {
		return fitting
	}
	sorted := slices.Clone(fitting)
	slices.SortStableFunc(sorted, func(a, b candidate) int { return cmp.Compare(a.w.weightAtRisk(s.job), b.w.weightAtRisk(s.job)) })
	return sorted
}

// backsOff reports whether a stage has nothing to start now because workers were lost under
// its tasks time and again. A gang starts whole.
func (s *stage) backsOff(now time.Time) bool {
	if !s.lostWorkers {
		return false
	}
	backingOff := 0
	for _, index := range s.idle {
		if s.tasks[index].backsOff(now) {
			backingOff++
		}
	}
	return backingOff > 0 && (s.step.Gang || backingOff == len(s.idle))
}
