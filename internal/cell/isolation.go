package cell

import (
	"cmp"
	"slices"
	"time"
)

// survivedAfter is how long a run must have worked to be known not to crash its worker. A
// poison task crashes it immediately, and a longer time would keep more workers isolated.
const survivedAfter = 500 * time.Millisecond

// startingWeight is the weight of another job's starting run when a worker is chosen for an
// isolated run. It exceeds any number of runs that have survived, because a starting run could
// be blamed for the crash.
const startingWeight = 1000

// recordSurvival handles a report of a working run. A run that has worked for survivedAfter
// does not crash its worker.
func (c *Cell) recordSurvival(a *attempt, now time.Time) {
	if a.survived || now.Sub(a.confirmedAt) < survivedAfter {
		return
	}
	a.survived = true
	c.clearCrashes(a.task)
}

// clearCrashes resets the crash history of a task after one of its runs did not crash its
// worker.
func (c *Cell) clearCrashes(t *task) {
	if t.crashes.hasLosses() {
		t.crashes.clear()
		c.dirtyJobs[t.stage.job] = struct{}{}
	}
}

// isolated reports whether no task of another job may be started next to a run. Such a task
// would be lost if the run crashes the worker, and could be blamed for the crash.
func (a *attempt) isolated() bool { return !a.survived && a.task.crashes.hasLosses() }

// isolate keeps other jobs off the worker of a new run if its task has a crash history.
func (c *Cell) isolate(a *attempt) {
	if a.isolated() {
		c.isolatedRuns[a] = struct{}{}
		a.worker.isolatedFor = a.task.stage.job
	}
}

// isolateOthers isolates the other runs of a task after one of its runs became a suspect.
func (c *Cell) isolateOthers(a *attempt) {
	for _, other := range a.task.attempts {
		if other != a {
			c.isolate(other)
		}
	}
}

// markIsolated records on each worker the job for which it is isolated.
func (c *Cell) markIsolated() {
	for a := range c.isolatedRuns {
		if !a.isolated() {
			delete(c.isolatedRuns, a)
			continue
		}
		a.worker.isolatedFor = a.task.stage.job
	}
}

// acceptsJob reports whether the worker's isolation, if any, allows tasks of a job.
func (w *worker) acceptsJob(j *jobState) bool { return w.isolatedFor == nil || w.isolatedFor == j }

// weightAtRisk returns the weight of the runs of other jobs that would be lost with a worker.
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

// pickIsolated returns the index of the candidate on which a task with a crash history puts
// the least weight at risk, or -1 if there is none.
func (c *Cell) pickIsolated(s *stage, t *task, fitting []candidate, now time.Time) int {
	best, least := -1, 0
	// The emptiest workers come last.
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

// sortByRisk sorts the candidates for a gang by the weight at risk if one of its tasks has a
// crash history.
func (s *stage) sortByRisk(fitting []candidate) []candidate {
	if !s.lostWorkers || !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.crashes.hasLosses() }) {
		return fitting
	}
	sorted := slices.Clone(fitting)
	slices.SortStableFunc(sorted, func(a, b candidate) int { return cmp.Compare(a.w.weightAtRisk(s.job), b.w.weightAtRisk(s.job)) })
	return sorted
}

// backsOff reports whether a stage has nothing to start now because workers were repeatedly
// lost under its tasks. A gang starts as a whole.
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
