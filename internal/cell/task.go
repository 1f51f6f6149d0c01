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
	// startConfirmed is set once a run of the task was confirmed under this owner.
	startConfirmed bool
	// attempts are the task's runs: at most one, or two with a speculative run.
	attempts []*attempt
	// failedRuns are the failed runs, each counted once. A new owner receives their ends in
	// any order, and some of them repeatedly.
	failedRuns []uint64
	lastRun    uint64
	checkpoint string
	// checkpointPercent is the last known progress of the run that wrote the checkpoint.
	checkpointPercent int
	// ended is set if this owner has learned of the end of a run of the task.
	ended bool
	// crashes records the workers that were lost while the task was starting.
	crashes crashHistory
	// lastWorkingAt is when a long-running task was last reported as working.
	lastWorkingAt time.Time
	// lastStartAt is when this owner last started a run of the task.
	lastStartAt time.Time
	// preempted is set once a run of the task was preempted.
	preempted bool
	// failedOn are the workers of failed runs. The next runs avoid them.
	failedOn []string
}

func (t *task) id() job.TaskID {
	s := t.stage.id
	return job.TaskID{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step, Index: t.index}
}

// find returns the attempt of a run on a worker, or nil.
func (t *task) find(w *worker, run uint64) *attempt {
	for _, a := range t.attempts {
		if a.worker == w && a.run == run {
			return a
		}
	}
	return nil
}

// adoptedRuns returns the number of the task's runs that other owners started.
func (t *task) adoptedRuns() int {
	n := 0
	for _, a := range t.attempts {
		if a.adopted {
			n++
		}
	}
	return n
}

// countFailure counts a failed run and reports whether it is new.
func (t *task) countFailure(run uint64) bool {
	if slices.Contains(t.failedRuns, run) {
		return false
	}
	t.failedRuns = append(t.failedRuns, run)
	return true
}

// maxKeptFailures bounds the kept failures of a long-running task. They identify failures that
// a new owner may receive again, and workers to avoid.
const maxKeptFailures = 10

// trimFailures bounds the kept failures of a long-running task, which has no limit of
// attempts.
func (t *task) trimFailures() {
	if !t.stage.step.LongRunning {
		return
	}
	// A commit may still hold the list, so it must not be changed in place.
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

// isPoison reports whether the task is a poison task; see crashHistory.isPoison. The attempts
// of a long-running task are not limited, and fewer than maxCrashes crashes count only if
// enough of them came immediately after a start.
func (t *task) isPoison(onlySuspect, correlated bool) bool {
	h := &t.crashes
	if t.stage.step.LongRunning && len(h.crashed) < maxCrashes && h.immediate < maxCrashesSoleSuspect {
		return false
	}
	return h.isPoison(onlySuspect, correlated)
}

func (t *task) failures() int { return len(t.failedRuns) }

// nextRun returns a run number higher than any that this or a previous owner can have used.
func (t *task) nextRun(term uint64) uint64 {
	return max(t.lastRun, (term-1)*runsPerTerm) + 1
}
