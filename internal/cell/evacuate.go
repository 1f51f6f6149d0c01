package cell

import (
	"time"

	"gentianstand/internal/upkeep"
)

// minEvacuationGain is how much longer a run has to need for a stop and a start elsewhere
// to be worth it on a worker that is being emptied.
const minEvacuationGain = 1500 * time.Millisecond

// workingPercent is the progress in percent that a lasting task reports when it works.
const workingPercent = 100

// SetEvacuating names all workers that are to be emptied; others are used again.
func (c *Cell) SetEvacuating(workers []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	named := make(map[string]bool, len(workers))
	for _, id := range workers {
		named[id] = true
	}
	for id, w := range c.workers {
		if w.evacuating != named[id] {
			w.evacuating = named[id]
			c.log.WithFields(workerFields(w)).WithField("runs", len(w.attempts)).WithField("emptied", w.evacuating).Info("worker_evacuation")
		}
	}
}

// WorkerLoad returns what runs on a worker. Where that is not known, nothing may be ended.
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

// WorkerTerminated takes in that a worker's life has ended by an order that was first sent at
// orderedAt. An incarnation that became known later is the next one: the answer may come
// when the upkeep is over.
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

// evacuate moves a run off a worker whose machine is about to have its upkeep.
func (c *Cell) evacuate(a *attempt, now time.Time) {
	step := a.task.stage.step
	switch {
	case a.phase != running || step.Gang:
	case step.LongRunning && c.mayInterrupt(a), step.Checkpoint && c.expectedRemaining(a, now) > minEvacuationGain:
		c.stats.Moves++
		c.stop(a, "evacuated", now)
	}
}

// mayInterrupt reports whether a run may be ended by the owner's choice. Callers say how many
// tasks of a lasting step may be away for that; workers that are emptied together may have
// several.
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

// isWorking reports whether a lasting task is at work, as far as its worker has told.
func (t *task) isWorking() bool {
	for _, a := range t.attempts {
		if a.phase == running && a.percent >= workingPercent && a.worker.unresponsiveSince.IsZero() {
			return true
		}
	}
	return false
}
