package cell

import (
	"slices"
	"sort"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/slack"
	"gentianstand/internal/workerspeed"
)

// stage is one step of one occurrence of a job.
type stage struct {
	id           job.StageID
	job          *jobState
	step         *job.Step
	predecessors []*stage
	// siblings are all stages of the occurrence.
	siblings []*stage
	tasks    []*task
	// idle holds the indexes of tasks to place, in ascending order: tasks that are not done
	// and have no run, and tasks that get a speculative run.
	idle []int
	done int
	// doneAt is when the stage was done, if it was under this owner.
	doneAt time.Time
	// readyAt is when its tasks could first have started.
	readyAt time.Time
	// inheritedWait is its wait for the first start under this owner, if its job is inherited.
	inheritedWait inheritedWait
	// remainingPath is the ideal time from the stage's start to the end of the job.
	remainingPath time.Duration
	// remainingDepth is the number of stages on the longest chain to the end of the job.
	remainingDepth int
	// runsPerWorker counts the stage's runs on each worker, for MaxPerWorker.
	runsPerWorker map[*worker]int
	// runs is the number of its runs.
	runs   int
	advice adviceState
	// expiring is the number of its runs that are about to be lost. It is set only while an
	// adviser call for them is considered.
	expiring int
	// noEarlierRuns is set if no previous owner can have started the stage.
	noEarlierRuns bool
	// lostWorkers is set if a worker was lost while one of its tasks was starting. It is rare,
	// so the tasks of other stages need not be scanned in each planning pass.
	lostWorkers bool
	// unparkRetryAt is when parked workers are considered again, after none could hold a task.
	unparkRetryAt time.Time
	// preempting is the number of tasks for which runs are being stopped.
	preempting int
	// speedSiblings are the runs with which others are compared for their worker's speed.
	speedSiblings workerspeed.Siblings
	// preference ranks the speed classes of workers, as of the last planning pass.
	preference slack.Order
	// fasterWaitSince is when its tasks first waited for faster workers, fasterWaitExpected is
	// for how long they were expected to wait then, and fasterWaitLogged is set once the end of
	// that wait is logged.
	fasterWaitSince    time.Time
	fasterWaitExpected time.Duration
	fasterWaitLogged   bool
	// startedLate is set if a task was started on a worker on which the stage has no slack, and
	// startedLateOn is the slowest class of these workers.
	startedLate   bool
	startedLateOn slack.Class
	// preemptionLost is the work, in processor-seconds, that was lost by stops for the stage.
	preemptionLost float64
	// victimsSearchedAt is when victims were last searched for, or found too costly.
	victimsSearchedAt time.Time
}

func newStage(j *jobState, occurrence, step int) *stage {
	s := &stage{
		id:  job.StageID{Job: j.record.ID, Occurrence: occurrence, Step: step},
		job: j, step: &j.record.Steps[step], runsPerWorker: map[*worker]int{},
		advice: adviceState{verdicts: map[*worker]verdict{}},
	}
	for i := range s.step.Count {
		s.tasks = append(s.tasks, &task{stage: s, index: i})
		s.idle = append(s.idle, i)
	}
	return s
}

func (s *stage) isDone() bool { return s.done == len(s.tasks) }

func (s *stage) predecessorsDone() bool {
	for _, b := range s.predecessors {
		if !b.isDone() {
			return false
		}
	}
	return true
}

// successors returns the stages that depend on this one directly.
func (s *stage) successors() []*stage {
	var list []*stage
	for _, other := range s.siblings {
		if slices.Contains(other.predecessors, s) {
			list = append(list, other)
		}
	}
	return list
}

// due reports whether the stage's occurrence may start.
func (s *stage) due(now time.Time, early time.Duration) bool {
	at := s.job.record.DueAt(s.id.Occurrence)
	return at.IsZero() || !now.Before(at.Add(-early/2))
}

// latestStart returns when the stage must start for the job to meet its objective, according
// to the caller's estimates and the queue's usual durations on typical workers.
func (s *stage) latestStart(d *durations) time.Time { return s.latestStartAt(d, 1) }

// latestStartAt is latestStart on workers with a run-time factor.
func (s *stage) latestStartAt(d *durations, factor float64) time.Time {
	remaining := d.conservative(s.job.record.Queue, s.remainingPath, s.remainingDepth) - s.checkpointedWork()
	return s.job.objective(s, d).Add(-time.Duration(factor * float64(remaining)))
}

// hasStarted reports whether any task of the stage has had a run.
func (s *stage) hasStarted() bool {
	return len(s.idle) < len(s.tasks) || s.tasks[s.idle[0]].lastRun > 0
}

// checkpointedWork returns how much less than usual the stage's idle tasks take because they
// resume from checkpoints.
func (s *stage) checkpointedWork() time.Duration {
	leastPercent := 100
	for _, index := range s.idle {
		leastPercent = min(leastPercent, s.tasks[index].checkpointPercent)
	}
	return s.step.Estimate * time.Duration(leastPercent) / 100
}

// removeIdle removes a task from the idle tasks.
func (s *stage) removeIdle(index int) {
	at := sort.SearchInts(s.idle, index)
	if at < len(s.idle) && s.idle[at] == index {
		s.idle = append(s.idle[:at], s.idle[at+1:]...)
	}
}

// addIdle adds a task to the idle tasks and reports whether it was missing.
func (s *stage) addIdle(index int) bool {
	at := sort.SearchInts(s.idle, index)
	if at < len(s.idle) && s.idle[at] == index {
		return false
	}
	s.idle = append(s.idle, 0)
	copy(s.idle[at+1:], s.idle[at:])
	s.idle[at] = index
	return true
}

// hasAdoptedRuns reports whether another owner has started a run of the stage that still exists.
func (s *stage) hasAdoptedRuns() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.adoptedRuns() > 0 })
}

// waitsForRunsBefore reports whether runs of the stages before are left although these are done: a late
// end was reported after a task had been started again. A later owner that saw such a run would take
// the stage for new. It does not conclude that from tasks that may run twice.
func (s *stage) waitsForRunsBefore() bool {
	return slices.ContainsFunc(s.predecessors, func(b *stage) bool { return b.runs > 0 && !b.step.AllowDuplicates && !b.step.Gang })
}
