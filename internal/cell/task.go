package cell

import (
	"slices"
	"time"

	"gentianstand/internal/job"
)

// task is one task of a stage.
type task struct {
	stage *stage
	index int
	done  bool
	// startConfirmed says that a run of it was confirmed under this owner.
	startConfirmed bool
	// attempts are its runs: at most one, but for copies that may run twice.
	attempts []*attempt
	// failedRuns are the runs that ended as failed, each counted once. A new owner
	// hears of them in any order, and of some again.
	failedRuns []uint64
	lastRun    uint64
	checkpoint string
	// checkpointPercent is how far the run with that checkpoint had come, as far as is known.
	checkpointPercent int
	// crashes tells of the workers that were lost while it was starting.
	crashes crashHistory
	// lastWorkingAt is when a lasting task was last reported at work.
	lastWorkingAt time.Time
	// failedOn are the workers of failed runs, avoided for the next ones.
	failedOn []string
}

func (t *task) id() job.TaskID {
	s := t.stage.id
	return job.TaskID{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step, Index: t.index}
}

// find returns the attempt with a run on a worker, or nil.
func (t *task) find(w *worker, run uint64) *attempt {
	for _, a := range t.attempts {
		if a.worker == w && a.run == run {
			return a
		}
	}
	return nil
}

// countFailure counts a failed run and reports whether it is new.
func (t *task) countFailure(run uint64) bool {
	if slices.Contains(t.failedRuns, run) {
		return false
	}
	t.failedRuns = append(t.failedRuns, run)
	return true
}

// maxKeptFailures is how many failures of a lasting task are kept: those of which a new owner may
// hear again, and workers to avoid.
const maxKeptFailures = 10

// trimFailures bounds what is kept of a lasting task, which has no limit of attempts.
func (t *task) trimFailures() {
	if !t.stage.step.LongRunning {
		return
	}
	// A commit may still hold the list, so it is not changed in place.
	t.failedRuns = slices.Clone(t.failedRuns[max(0, len(t.failedRuns)-maxKeptFailures):])
	t.failedOn = slices.Clone(t.failedOn[max(0, len(t.failedOn)-maxKeptFailures):])
}

// backsOff reports whether the task must not be started yet because of its crash history.
func (t *task) backsOff(now time.Time) bool {
	if t.stage.step.LongRunning {
		return t.crashes.backsOffAtMost(shortBackoff, now)
	}
	return t.crashes.backsOff(now)
}

// isPoison reports whether the task is a poison task; see crashHistory.isPoison. A
// lasting task is not limited in its attempts, and fewer than mostCrashes count only if
// they came as soon as it began.
func (t *task) isPoison(onlySuspect, correlated bool) bool {
	h := &t.crashes
	if t.stage.step.LongRunning && len(h.crashed) < maxCrashes && h.immediate < maxCrashesSoleSuspect {
		return false
	}
	return h.isPoison(onlySuspect, correlated)
}

func (t *task) failures() int { return len(t.failedRuns) }

// nextRun returns a run number higher than any that this or an earlier owner
// can have ordered.
func (t *task) nextRun(term uint64) uint64 {
	return max(t.lastRun, (term-1)*runsPerTerm) + 1
}
