package cell

import (
	"time"

	"gentianstand/internal/workerspeed"
)

// cachedSpeed is a worker's speed factor, which is valid as long as the model does not change.
// Planning passes ask for it for many workers.
type cachedSpeed struct {
	factor  float64
	changes uint64
	valid   bool
}

// speedFactor returns the duration of runs on a worker relative to a typical worker.
func (c *Cell) speedFactor(w *worker) float64 {
	if !c.enabled(WorkerSpeed) {
		return 1
	}
	if c.factorOf != nil {
		return c.factorOf(w)
	}
	if changes := c.speeds.Changes(); !w.speed.valid || w.speed.changes != changes {
		w.speed = cachedSpeed{c.speeds.Factor(w.ID, w.kind()), changes, true}
	}
	return w.speed.factor
}

// expectedDuration returns how long a fresh run of a stage's task usually takes on a worker.
func (c *Cell) expectedDuration(s *stage, w *worker) time.Duration {
	return time.Duration(float64(c.usualTaskDuration(s)) * c.speedFactor(w))
}

// maxReportGap is the longest time between two reports of a worker after which the ends in the second one
// are as recent as they seem. A worker that was cut off reports ends late, and would look slow.
const maxReportGap = maxPollWait + 500*time.Millisecond

// measuresSpeed reports whether a run tells how fast its worker is. Gangs run as fast as their slowest
// member, best-effort tasks are throttled, long-running tasks do not end, and tasks remote from their data
// take several times as long on any worker.
func (c *Cell) measuresSpeed(a *attempt) bool {
	s := a.task.stage
	if s.step.DataRack != "" && !s.isLocal(a.worker) {
		return false
	}
	return c.enabled(WorkerSpeed) && !s.step.LongRunning && !s.step.Gang && !s.step.BestEffort
}

func speedTask(a *attempt) workerspeed.Task {
	s := a.task.stage
	return workerspeed.Task{Worker: a.worker.ID, Kind: a.worker.kind(), Queue: s.job.record.Queue, Estimate: s.step.Estimate, Siblings: &s.speedSiblings}
}

// speedOfStart passes the confirmed start of a run to the speed model.
func (c *Cell) speedOfStart(a *attempt) {
	a.speedAtStart = c.viewSpeed(a.worker)
	if c.measuresSpeed(a) && a.fromScratch {
		c.speeds.Started(&a.speed, speedTask(a), a.confirmedAt)
	}
}

// speedOfProgress passes the progress of a run to the speed model.
func (c *Cell) speedOfProgress(a *attempt, now time.Time) {
	if c.measuresSpeed(a) && a.phase == running && a.percent > 0 {
		c.speeds.Progressed(&a.speed, speedTask(a), a.percent, now)
		c.logSpeed(a.worker)
	}
}

// speedOfEnd passes the duration of a run that has succeeded to the speed model.
func (c *Cell) speedOfEnd(a *attempt, now time.Time) {
	if c.measuresSpeed(a) && a.worker.reportGap <= maxReportGap {
		c.speeds.Ended(&a.speed, speedTask(a), now)
		c.logSpeed(a.worker)
	}
}

// speedOfAbandoned tells the speed model that a run is too slow to be waited for.
func (c *Cell) speedOfAbandoned(a *attempt) {
	if c.measuresSpeed(a) {
		c.speeds.Abandoned(speedTask(a), a.projectedTotal())
	}
}

// kind returns the worker's kind label, which is the label that is not its rack, or "".
func (w *worker) kind() string {
	for _, label := range w.Labels {
		if label != w.Rack {
			return label
		}
	}
	return ""
}
