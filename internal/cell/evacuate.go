package cell

import (
	"time"

	"gentianstand/internal/upkeep"
)

// evacuateWorth is how much longer a run has to need for a stop and a start elsewhere
// to be worth it on a worker that is being emptied.
const evacuateWorth = 1500 * time.Millisecond

// atWork is the progress in percent that a lasting task reports when it works.
const atWork = 100

// Evacuate names all workers that are to be emptied; others are used again.
func (c *Cell) Evacuate(workers []string) {
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
		load.Protected = load.Protected || a.phase != stopping && !c.mayEnd(a)
	}
	return load
}

// Ended takes in that a worker's life has ended by an order that was first sent at
// orderedAt. An incarnation that became known later is the next one: the answer may come
// when the upkeep is over.
func (c *Cell) Ended(id string, orderedAt, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w != nil && w.knownSince.After(orderedAt) {
		return
	}
	c.clearSuspects(id)
	if w != nil {
		c.remove(w, now)
	}
}

// evacuate moves a run off a worker whose machine is about to have its upkeep.
func (c *Cell) evacuate(a *attempt, now time.Time) {
	step := a.task.stage.step
	switch {
	case a.phase != running || step.Gang:
	case step.LongRunning && c.mayEnd(a), step.Checkpoint && c.expectedLeft(a, now) > evacuateWorth:
		c.stats.Moves++
		c.stop(a, "evacuated", now)
	}
}

// mayEnd reports whether a run may be ended by the owner's choice. Callers say how many
// tasks of a lasting step may be away for that; workers that are emptied together may have
// several.
func (c *Cell) mayEnd(a *attempt) bool {
	s := a.task.stage
	if !s.step.LongRunning || s.step.MaxUnavailable == 0 {
		return true
	}
	away := 0
	for _, t := range s.tasks {
		if t != a.task && !t.works() {
			away++
		}
	}
	return away < s.step.MaxUnavailable
}

// works reports whether a lasting task is at work, as far as its worker has told.
func (t *task) works() bool {
	for _, a := range t.attempts {
		if a.phase == running && a.percent >= atWork && a.worker.failingAt.IsZero() {
			return true
		}
	}
	return false
}
