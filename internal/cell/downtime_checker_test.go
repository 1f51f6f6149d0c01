package cell

import (
	"fmt"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/resource"
)

const (
	// maxDownSinceLastRun is how long a long-running task may be down after its last run. It counts
	// as a violation only if enough capacity for two such tasks has been free for minFreeTime.
	maxDownSinceLastRun = 9 * time.Second
	minFreeTime         = 3 * time.Second
)

// taskDowntime is the downtime of one long-running task.
type taskDowntime struct {
	// ranAt is when it last ran; freeSince is the start of the period in which there has been free
	// capacity for two such tasks, or zero.
	ranAt, freeSince time.Time
	reported         bool
}

// downtimeChecker checks from the workers' side which long-running tasks are down although there is
// free capacity for them.
type downtimeChecker struct {
	load  *load
	jobs  []string
	tasks map[string]*taskDowntime
	// violations lists the tasks that were down for too long.
	violations []string
}

func newDowntimeChecker(l *load, jobs []string) *downtimeChecker {
	return &downtimeChecker{load: l, jobs: jobs, tasks: map[string]*taskDowntime{}}
}

// check checks all tasks at the present time.
func (j *downtimeChecker) check() {
	running := j.running()
	for _, id := range j.jobs {
		s := j.load.cell.jobs[id].stages[0]
		for i := range s.tasks {
			j.checkTask(s, job.TaskID{Job: id, Index: i}.String(), running)
		}
	}
}

// running returns the tasks that run on workers.
func (j *downtimeChecker) running() map[string]bool {
	running := map[string]bool{}
	for _, w := range j.load.workers {
		for task := range w.runs {
			running[task] = true
		}
	}
	return running
}

func (j *downtimeChecker) checkTask(s *stage, task string, running map[string]bool) {
	now := j.load.now
	a := j.tasks[task]
	switch {
	case running[task]:
		j.tasks[task] = &taskDowntime{ranAt: now}
		return
	case a == nil:
		return
	case j.freePlaces(s) < 2:
		a.freeSince = time.Time{}
		return
	case a.freeSince.IsZero():
		a.freeSince = now
	}
	if !a.reported && now.Sub(a.ranAt) >= maxDownSinceLastRun && now.Sub(a.freeSince) >= minFreeTime {
		a.reported = true
		j.violations = append(j.violations, fmt.Sprintf("%s at %v", task, now.Sub(siteStart)))
	}
}

// freePlaces returns how many more tasks of a stage, at most two, fit on the workers that may run
// it.
func (j *downtimeChecker) freePlaces(s *stage) int64 {
	places := int64(0)
	for id, w := range j.load.workers {
		if places < 2 && j.load.adviser.allows(s.id, id) {
			places += j.freePlacesOn(s, w)
		}
	}
	return places
}

func (j *downtimeChecker) freePlacesOn(s *stage, w *loadWorker) int64 {
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
