package cell

import (
	"sort"
	"time"

	"gentianstand/internal/job"
)

// stage is one step of one occurrence.
type stage struct {
	id           job.StageID
	job          *jobState
	step         *job.Step
	predecessors []*stage
	tasks        []*task
	// idle are the indexes of tasks to place, ascending: those without a run that are
	// not done, and those that are to have another one.
	idle []int
	done int
	// readyAt is when its tasks could first have been started.
	readyAt time.Time
	// remainingPath is the ideal time from the stage's start to the end of the job.
	remainingPath time.Duration
	// remainingDepth is the number of stages on the longest chain to the end of the job.
	remainingDepth int
	// runsPerWorker counts runs on each worker, for limits per worker.
	runsPerWorker map[*worker]int
	advice        adviceState
	// expiring is, while it is asked about, how many of its runs are about to be lost.
	expiring int
	// noEarlierRuns says that no earlier owner can have started the stage.
	noEarlierRuns bool
	// lostWorkers says that a worker was lost while one of its tasks was starting. Few
	// stages are, so the others' tasks need not be looked through in each planning pass.
	lostWorkers bool
	// unparkRetryAt is when parked workers are looked for again, after there were none that
	// could hold a task.
	unparkRetryAt time.Time
	// preempting is how many runs are being stopped to make room for the stage.
	preempting int
	// victimsSearchedAt is when victims were last looked for.
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

// ideal returns how long the stage takes when all its tasks start at once.
func (s *stage) ideal() time.Duration {
	d := s.step.Estimate
	if cost := s.job.record.Advice; cost != nil {
		d += cost.Duration(typicalCallSize)
	}
	return d
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

// due reports whether the stage's occurrence may start.
func (s *stage) due(now time.Time, early time.Duration) bool {
	at := s.job.record.DueAt(s.id.Occurrence)
	return at.IsZero() || !now.Before(at.Add(-early/2))
}

// latestStart returns when the stage has to start for the job to meet its
// objective, as far as the caller's estimates and the queue's durations tell.
func (s *stage) latestStart(d *durations) time.Time {
	remaining := d.conservative(s.job.record.Queue, s.remainingPath, s.remainingDepth) - s.checkpointedWork()
	return s.job.objective(s, d).Add(-remaining)
}

// hasStarted reports whether a task of the stage has run.
func (s *stage) hasStarted() bool {
	return len(s.idle) < len(s.tasks) || s.tasks[s.idle[0]].lastRun > 0
}

// checkpointedWork returns how much less than usual its idle tasks take, as they go on from
// checkpoints.
func (s *stage) checkpointedWork() time.Duration {
	least := 100
	for _, index := range s.idle {
		least = min(least, s.tasks[index].checkpointPercent)
	}
	return s.step.Estimate * time.Duration(least) / 100
}

// removeIdle removes a task from the idle ones.
func (s *stage) removeIdle(index int) {
	at := sort.SearchInts(s.idle, index)
	if at < len(s.idle) && s.idle[at] == index {
		s.idle = append(s.idle[:at], s.idle[at+1:]...)
	}
}

// addIdle puts a task among the idle ones and reports whether it was not there.
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

// runCount returns how many runCount of the stage exist.
func (s *stage) runCount() int {
	n := 0
	for _, t := range s.tasks {
		n += len(t.attempts)
	}
	return n
}
