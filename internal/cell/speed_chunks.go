package cell

import "time"

// speedStorePeriod is the least time between two commits to which a chunk of known workers is added
// because of their speeds. All chunks are stored within 8 s then, and at 3,000 workers the owner writes
// some 30 kB/s for it.
const speedStorePeriod = 500 * time.Millisecond

// speedChunks tells which chunks of known workers have speeds that are not stored. It is not exact: a
// successor that knows a little less learns it from a few runs.
type speedChunks struct {
	// stored holds, for each chunk, the number of changes of the speed model that were stored.
	stored [workerChunks]uint64
	next   int
	lastAt time.Time
}

// take returns the next chunk to store, if one is due.
func (s *speedChunks) take(changes uint64, now time.Time) (chunk int, ok bool) {
	if now.Sub(s.lastAt) < speedStorePeriod {
		return 0, false
	}
	for range workerChunks {
		n := s.next
		s.next = (s.next + 1) % workerChunks
		if s.stored[n] != changes {
			s.stored[n], s.lastAt = changes, now
			return n, true
		}
	}
	return 0, false
}

// addSpeedChunk adds a chunk with changed speeds to a commit that stores other progress, so that speeds
// cause no transactions of their own.
func (c *Cell) addSpeedChunk() {
	if len(c.dirtyJobs) == 0 || !c.enabled(WorkerSpeed) {
		return
	}
	if n, ok := c.speedChunks.take(c.speeds.Changes(), c.lastWatchAt); ok {
		c.dirtyChunks.numbers[n] = struct{}{}
	}
}

// restoreFactor restores the speed that a previous owner has stored of a worker's current incarnation.
func (c *Cell) restoreFactor(w *worker, k KnownWorker) {
	if k.Incarnation == w.incarnation && c.enabled(WorkerSpeed) {
		c.speeds.Restore(w.ID, w.kind(), k.Speed)
	}
}
