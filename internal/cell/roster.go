package cell

import (
	"time"

	"gentianstand/internal/roster"
)

// SetRoster replaces the list of registered workers.
func (c *Cell) SetRoster(all []roster.Worker, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rosterUpdates.record(now)
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
	for id := range c.endedIncarnations {
		if !listed[id] {
			delete(c.endedIncarnations, id)
		}
	}
}

// UpdateRoster applies changes to the list of registered workers.
func (c *Cell) UpdateRoster(change roster.Change, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rosterUpdates.record(now)
	for _, r := range change.Workers {
		c.register(r, now)
	}
	for _, id := range change.Removed {
		delete(c.endedIncarnations, id)
		if w := c.workers[id]; w != nil {
			c.unregister(w, now)
		}
	}
}

func (c *Cell) register(r roster.Worker, now time.Time) {
	if ended, gone := c.endedIncarnations[r.ID]; gone {
		if r.Incarnation == ended || r.Incarnation == 0 {
			return
		}
		delete(c.endedIncarnations, r.ID)
	}
	w := c.workers[r.ID]
	if w == nil {
		c.addressReused(r.Address, r.ID, now)
		w = newWorker(r, now)
		w.accounted = c.workersLoaded
		c.workers[r.ID] = w
		if polled := len(c.workers) - 1 - c.parkedCount; c.settings.SpareWorkers > 0 && c.enabled(Parking) && polled >= c.settings.SpareWorkers {
			c.setParked(w, true)
		} else {
			c.dirtyChunks.mark(r.ID)
		}
		c.log.WithFields(workerFields(w)).Info("worker_added")
	}
	switch {
	// The last condition covers workers whose entries have no incarnation.
	case r.Incarnation == w.incarnation, w.incarnation == 0, r.Incarnation == 0 && w.Worker.Incarnation == 0:
		c.updateEntry(w, r, now)
	case r.Incarnation > w.incarnation && r.Incarnation != w.previous && !c.mayHaveRuns(w):
		c.workerRestarted(w, r.Incarnation, now)
		c.updateEntry(w, r, now)
	default:
		// The entry is outdated, was written by another process, or belongs to the worker's next
		// incarnation. Incarnations cannot be ordered by number, as the worker's wall clock may
		// have been set back. The worker's own report decides.
		c.keepPendingEntry(w, r)
	}
}

// mayHaveRuns reports whether runs may exist on a worker, or may have crashed it.
func (c *Cell) mayHaveRuns(w *worker) bool {
	return len(w.attempts) > 0 || w.mayHaveEarlierRuns() || c.lostWorkers[w.ID] != nil
}

// keepPendingEntry keeps a roster entry until the worker reports its incarnation. A worker that
// does not answer is polled at the address in the entry, as it may have restarted there.
func (c *Cell) keepPendingEntry(w *worker, r roster.Worker) {
	w.pendingEntry = r
	if r.Incarnation > w.incarnation && (!w.reported || !w.unresponsiveSince.IsZero()) {
		w.target.Address, w.target.Zone = r.Address, r.Zone
	}
}

// updateEntry applies a roster entry of a worker's current incarnation.
func (c *Cell) updateEntry(w *worker, r roster.Worker, now time.Time) {
	if r.Incarnation == w.Worker.Incarnation {
		// A heartbeat that was written before the draining one may be read after it.
		r.Draining = r.Draining || w.Draining
	}
	w.Worker, w.speed.valid = r, false
	if w.incarnation == 0 && r.Incarnation != 0 {
		c.setIncarnation(w, r.Incarnation)
	}
	w.target.Address, w.target.Zone = r.Address, r.Zone
	w.unlistedAt = time.Time{}
	if r.Draining && w.drainingSince.IsZero() {
		w.drainingSince = now
		c.log.WithFields(workerFields(w)).WithField("remaining_ms", r.Remaining.Milliseconds()).Info("worker_draining")
	}
}

func (c *Cell) unregister(w *worker, now time.Time) {
	if w.unlistedAt.IsZero() {
		w.unlistedAt = now
		w.expiredInOutage = c.rosterUpdates.duringOutage(now)
		c.log.WithFields(workerFields(w)).WithField("runs", len(w.attempts)).Info("worker_unlisted")
	}
}

// WorkersToPoll returns the ids of the workers to poll: all except parked ones.
func (c *Cell) WorkersToPoll() []string {
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

// forgetWorker removes a worker that is not registered and on which nothing can run.
func (c *Cell) forgetWorker(w *worker) {
	c.deleteWorker(w)
	c.log.WithFields(workerFields(w)).Info("worker_forgotten")
}

// deleteWorker deletes a worker that has no runs.
func (c *Cell) deleteWorker(w *worker) {
	if w.parked {
		c.parkedCount--
	}
	delete(c.workers, w.ID)
	c.speeds.Forget(w.ID)
	c.dirtyChunks.mark(w.ID)
}
