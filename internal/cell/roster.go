package cell

import (
	"time"

	"gentianstand/internal/roster"
)

// SetRoster takes in the whole list of registered workers.
func (c *Cell) SetRoster(all []roster.Worker, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.news.came(now)
	listed := map[string]bool{}
	for _, r := range all {
		listed[r.ID] = true
		c.register(r, now)
	}
	for id, w := range c.workers {
		if !listed[id] {
			c.unregister(w, now)
		}
	}
	for id := range c.gone {
		if !listed[id] {
			delete(c.gone, id)
		}
	}
}

// UpdateRoster takes in what has changed in the list.
func (c *Cell) UpdateRoster(change roster.Change, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.news.came(now)
	for _, r := range change.Workers {
		c.register(r, now)
	}
	for _, id := range change.Removed {
		delete(c.gone, id)
		if w := c.workers[id]; w != nil {
			c.unregister(w, now)
		}
	}
}

func (c *Cell) register(r roster.Worker, now time.Time) {
	if ended, gone := c.gone[r.ID]; gone {
		if r.Incarnation == ended || r.Incarnation == 0 {
			return
		}
		delete(c.gone, r.ID)
	}
	w := c.workers[r.ID]
	if w == nil {
		c.replacedAt(r.Address, r.ID, now)
		w = newWorker(r, now)
		w.accounted = c.inheritedAll
		c.workers[r.ID] = w
		if awake := len(c.workers) - 1 - c.parked; c.settings.SpareWorkers > 0 && c.uses(Parking) && awake >= c.settings.SpareWorkers {
			c.setParked(w, true)
		} else {
			c.known.changed(r.ID)
		}
		c.log.WithFields(workerFields(w)).Info("worker_added")
	}
	switch {
	// The last one is of workers whose entries do not tell.
	case r.Incarnation == w.incarnation, w.incarnation == 0, r.Incarnation == 0 && w.Worker.Incarnation == 0:
		c.describe(w, r, now)
	case r.Incarnation > w.incarnation && r.Incarnation != w.before:
		c.restarted(w, r.Incarnation, now)
		c.describe(w, r, now)
	default:
		// News that is old, of another writer, or of a worker whose time of day was set
		// back: the worker itself will tell.
		w.unmatched = r
	}
}

// describe takes in an entry of a worker's present incarnation.
func (c *Cell) describe(w *worker, r roster.Worker, now time.Time) {
	if r.Incarnation == w.Worker.Incarnation {
		// A heartbeat that was written before the draining one may be read after it.
		r.Draining = r.Draining || w.Draining
	}
	w.Worker = r
	if w.incarnation == 0 && r.Incarnation != 0 {
		c.setIncarnation(w, r.Incarnation)
	}
	w.target.Address, w.target.Zone = r.Address, r.Zone
	w.unlistedAt = time.Time{}
	if r.Draining && w.drainSeen.IsZero() {
		w.drainSeen = now
		c.log.WithFields(workerFields(w)).WithField("remaining_ms", r.Remaining.Milliseconds()).Info("worker_draining")
	}
}

func (c *Cell) unregister(w *worker, now time.Time) {
	if w.unlistedAt.IsZero() {
		w.unlistedAt = now
		w.lapsedInOutage = c.news.inOutage(now)
		c.log.WithFields(workerFields(w)).WithField("runs", len(w.attempts)).Info("worker_unlisted")
	}
}

// WorkerIDs returns the workers that should be looked at: all but parked ones.
func (c *Cell) WorkerIDs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.workers))
	for id, w := range c.workers {
		if w.parked {
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// forget drops a worker that is not registered and on which nothing can run.
func (c *Cell) forget(w *worker) {
	c.takeOut(w)
	c.log.WithFields(workerFields(w)).Info("worker_forgotten")
}

// takeOut ends the books on a worker that has no runs.
func (c *Cell) takeOut(w *worker) {
	if w.parked {
		c.parked--
	}
	delete(c.workers, w.ID)
	c.known.changed(w.ID)
}
