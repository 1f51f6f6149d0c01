package cell

import (
	"time"

	"gentianstand/internal/upkeep"
)

// minEvacuationGain is the least expected remaining time of a run for which a stop and a
// restart elsewhere pays off on an evacuating worker.
const minEvacuationGain = 1500 * time.Millisecond

// workingPercent is the progress that a long-running task reports while it works.
const workingPercent = 100

// SetEvacuating sets the workers to evacuate. All other workers may be used again.
func (c *Cell) SetEvacuating(workers []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	evacuating := make(map[string]bool, len(workers))
	for _, id := range workers {
		evacuating[id] = true
	}
	for id, w := range c.workers {
		if w.evacuating != evacuating[id] {
			w.evacuating = evacuating[id]
			c.log.WithFields(workerFields(w)).WithField("runs", len(w.attempts)).WithField("emptied", w.evacuating).Info("worker_evacuation")
		}
	}
}

// WorkerLoad returns what runs on a worker. If that is not known, the load is protected, so
// that nothing there is ended.
func (c *Cell) WorkerLoad(id string) upkeep.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	switch {
	case c.recovering, w != nil && !w.reported && !w.parked:
		return upkeep.Load{Runs: 1, Protected: true}
	case w == nil:
		return upkeep.Load{}
	}
	load := upkeep.Load{Runs: len(w.attempts)}
	for a := range w.attempts {
		load.Protected = load.Protected || a.phase != stopping && !c.mayInterrupt(a)
	}
	return load
}

// WorkerTerminated handles the termination of a worker by an order that was first sent at
// orderedAt. An incarnation that became known later is the next one and is kept, as the answer
// may arrive only after the maintenance.
func (c *Cell) WorkerTerminated(id string, orderedAt, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w != nil && w.knownSince.After(orderedAt) {
		return
	}
	c.clearSuspects(id)
	if w != nil {
		c.removeReplaced(w, now)
	}
}

// evacuate moves a run off a worker whose machine is about to be maintained.
func (c *Cell) evacuate(a *attempt, now time.Time) {
	step := a.task.stage.step
	switch {
	case a.phase != running || step.Gang:
	case step.LongRunning && c.mayInterrupt(a), step.Checkpoint && c.expectedRemaining(a, now) > minEvacuationGain:
		c.stats.Moves++
		c.stop(a, "evacuated", now)
	}
}

// mayInterrupt reports whether the owner may end a run on its own decision. Callers set how
// many tasks of a long-running step may be down for that. The limit is checked because workers
// that are evacuated together may run several of them.
func (c *Cell) mayInterrupt(a *attempt) bool {
	s := a.task.stage
	if !s.step.LongRunning || s.step.MaxUnavailable == 0 {
		return true
	}
	down := 0
	for _, t := range s.tasks {
		if t != a.task && !t.isWorking() {
			down++
		}
	}
	return down < s.step.MaxUnavailable
}

// isWorking reports whether a long-running task works, according to its worker's last report, and
// has not been ordered to stop.
func (t *task) isWorking() bool {
	for _, a := range t.attempts {
		if a.phase == running && !a.mayBeStopping && a.percent >= workingPercent && a.worker.unresponsiveSince.IsZero() {
			return true
		}
	}
	return false
}
