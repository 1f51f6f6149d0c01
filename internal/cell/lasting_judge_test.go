package cell

import (
	"fmt"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/resource"
)

const (
	// mostAway is how long after its last run a lasting task may be away, and roomFor for
	// how much of that time there may have been room for two.
	mostAway = 9 * time.Second
	roomFor  = 3 * time.Second
)

// absence is that of one lasting task.
type absence struct {
	// ranAt is when it last ran; roomSince is since when there has been room for two, or zero.
	ranAt, roomSince time.Time
	told             bool
}

// lastingJudge sees from the workers which lasting tasks are away beside room for them.
type lastingJudge struct {
	load *load
	jobs []string
	away map[string]*absence
	// lost are the tasks that were away for too long.
	lost []string
}

func newLastingJudge(l *load, jobs []string) *lastingJudge {
	return &lastingJudge{load: l, jobs: jobs, away: map[string]*absence{}}
}

// look judges this moment.
func (j *lastingJudge) look() {
	running := j.running()
	for _, id := range j.jobs {
		s := j.load.cell.jobs[id].stages[0]
		for i := range s.tasks {
			j.judge(s, job.TaskID{Job: id, Index: i}.String(), running)
		}
	}
}

// running returns the tasks that workers run.
func (j *lastingJudge) running() map[string]bool {
	running := map[string]bool{}
	for _, w := range j.load.workers {
		for task := range w.runs {
			running[task] = true
		}
	}
	return running
}

func (j *lastingJudge) judge(s *stage, task string, running map[string]bool) {
	now := j.load.now
	a := j.away[task]
	switch {
	case running[task]:
		j.away[task] = &absence{ranAt: now}
		return
	case a == nil:
		return
	case j.places(s) < 2:
		a.roomSince = time.Time{}
		return
	case a.roomSince.IsZero():
		a.roomSince = now
	}
	if !a.told && now.Sub(a.ranAt) >= mostAway && now.Sub(a.roomSince) >= roomFor {
		a.told = true
		j.lost = append(j.lost, fmt.Sprintf("%s at %v", task, now.Sub(siteStart)))
	}
}

// places returns for how many tasks of a stage, at most two, the workers that may run it
// have room.
func (j *lastingJudge) places(s *stage) int64 {
	places := int64(0)
	for id, w := range j.load.workers {
		if places < 2 && j.load.adviser.allows(s.id, id) {
			places += j.placesOn(s, w)
		}
	}
	return places
}

func (j *lastingJudge) placesOn(s *stage, w *loadWorker) int64 {
	var used resource.Amount
	siblings := 0
	for task := range w.runs {
		id, err := job.ParseTaskID(task)
		if err != nil {
			j.load.t.Fatal(err)
		}
		used = used.Add(j.load.cell.jobs[id.Job].record.Steps[id.Step].Need)
		if id.Job == s.id.Job {
			siblings++
		}
	}
	n := s.step.Need.CountIn(w.roster.Capacity.Sub(used), 2)
	if s.step.MaxPerWorker > 0 {
		n = min(n, int64(s.step.MaxPerWorker-siblings))
	}
	return n
}
