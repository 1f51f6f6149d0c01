package cell

import (
	"math"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/workerspeed"
)

// loggedChange is the least ratio between a worker's speed factor and that in its last log line for another
// line. Each change would be several lines a second with hundreds of uneven workers.
const loggedChange = 1.4

// speedView is what was known of a worker's speed at some time.
type speedView struct {
	factor float64
	source workerspeed.Source
	// runs is the number of runs on the worker that count.
	runs float64
}

func (c *Cell) viewSpeed(w *worker) speedView {
	if !c.enabled(WorkerSpeed) {
		return speedView{factor: 1, source: workerspeed.Unknown}
	}
	source, runs := c.speeds.Source(w.ID, w.kind())
	return speedView{c.speedFactor(w), source, runs}
}

// logSpeed logs a worker's speed if it has changed considerably since it was last logged.
func (c *Cell) logSpeed(w *worker) {
	logged := w.loggedSpeed
	if logged == 0 {
		logged = 1
	}
	factor := c.speedFactor(w)
	if math.Abs(math.Log(factor/logged)) < math.Log(loggedChange) {
		return
	}
	w.loggedSpeed = factor
	view := c.viewSpeed(w)
	c.log.WithFields(workerFields(w)).WithFields(logrus.Fields{"kind": w.kind(), "factor": formatFactor(factor), "before": formatFactor(logged),
		"by": view.source, "runs": int(view.runs)}).Info("worker_speed")
}

func formatFactor(factor float64) string { return strconv.FormatFloat(factor, 'f', 2, 64) }

// longestRun is the longest run of a job that has succeeded.
type longestRun struct {
	task   string
	worker string
	took   time.Duration
	// speed is what was known of the worker when the run started, or when it ended if another owner had
	// started it.
	speed speedView
}

// recordLongest keeps a run that has succeeded if it is the longest of its job.
func (c *Cell) recordLongest(a *attempt, now time.Time) {
	j, took := a.task.stage.job, a.elapsed(now)
	if took <= j.longest.took {
		return
	}
	speed := a.speedAtStart
	if speed.factor == 0 {
		speed = c.viewSpeed(a.worker)
	}
	j.longest = longestRun{a.task.id().String(), a.worker.ID, took, speed}
}

// longestFields returns the log fields of the longest run of a job that has missed its objective.
func (j *jobState) longestFields(now time.Time) logrus.Fields {
	if j.longest.took == 0 || j.record.Occurrences() > 1 || j.age(now) <= j.record.Objective() {
		return nil
	}
	return logrus.Fields{"longest_task": j.longest.task, "longest_worker": j.longest.worker, "longest_ms": j.longest.took.Milliseconds(),
		"longest_factor": formatFactor(j.longest.speed.factor), "longest_by": j.longest.speed.source}
}
