package cell

import (
	"hash/fnv"
	"sort"
	"time"

	"gentianstand/internal/roster"
)

// workerChunks is the number of stored values over which the known workers are spread, so that
// 3,000 workers fit into values of 64 KiB and a change writes little.
const workerChunks = 16

// dirtyChunks is the set of chunks that differ from the store. Every worker is stored before
// the first run is placed on it. It stays stored until nothing can run there any more or it is
// parked, because a worker that is cut off from the store disappears from the roster and keeps
// running.
type dirtyChunks struct{ numbers map[int]struct{} }

func newDirtyChunks() dirtyChunks { return dirtyChunks{numbers: map[int]struct{}{}} }

func chunkOf(workerID string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(workerID)) // a hash never fails
	return int(h.Sum32() % workerChunks)
}

func (d *dirtyChunks) mark(workerID string) { d.numbers[chunkOf(workerID)] = struct{}{} }

// LoadWorkers adds the workers that a previous owner stored in a chunk. Those missing from the
// roster are polled like the others. It must be called after SetRoster and after the jobs were
// loaded.
func (c *Cell) LoadWorkers(workers []KnownWorker, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range workers {
		c.accountedTerm = max(c.accountedTerm, k.AccountedTerm)
		w := c.workers[k.ID]
		if w == nil {
			w = newWorker(roster.Worker{ID: k.ID, Incarnation: k.Incarnation, Address: k.Address}, now)
			c.workers[k.ID] = w
			c.unregister(w, now)
		}
		if w.parked {
			c.setParked(w, false)
		}
		w.storedByPreviousOwner = true
		if k.Incarnation != 0 && k.Incarnation < w.incarnation {
			c.restoreCrash(w, k, now)
			continue
		}
		c.restoreLease(w, k, now)
		if k.Incarnation > w.incarnation {
			// The roster is out of date.
			c.setIncarnation(w, k.Incarnation)
		}
		w.stored = !k.Cordoned && (k.Incarnation == 0 || k.Incarnation == w.incarnation)
		if !w.stored {
			c.dirtyChunks.mark(w.ID)
		}
		if k.Cordoned {
			c.restoreRuns(w, k.Runs, now)
		}
		c.restoreSuspects(w, k, now)
		c.restoreFactor(w, k)
	}
}

// restoreCrash handles the stored entry of an incarnation that has probably ended. Its runs are not
// restored, but the recovery waits for the worker: if its wall clock was set back, the roster entry
// may be the outdated one. The crash is counted once all workers are loaded that may have been lost
// with it.
func (c *Cell) restoreCrash(w *worker, k KnownWorker, now time.Time) {
	c.restoreSuspects(w, k, now)
	c.restoredCrashes = append(c.restoredCrashes, w.ID)
	c.dirtyChunks.mark(w.ID)
}

// WorkersLoaded must be called once LoadWorkers was called with every chunk. No previous owner
// can have started anything on other workers: it would have stored them first, and it can
// store nothing more since this owner holds the claim. Recovery therefore does not wait for
// them.
func (c *Cell) WorkersLoaded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workersLoaded = true
	c.disregardOwnersBeforePredecessor()
	for _, id := range c.restoredCrashes {
		c.workerCrashed(id, c.startedAt)
	}
	c.restoredCrashes = nil
	for _, w := range c.workers {
		w.accounted = w.accounted || !w.storedByPreviousOwner
	}
}

// takeChunks returns the given chunks, to be stored with the jobs that are not dirty any more. The caller holds
// c.mu.
func (c *Cell) takeChunks(numbers []int) []WorkerChunk {
	if len(numbers) == 0 {
		return nil
	}
	byNumber := map[int]*WorkerChunk{}
	for _, n := range numbers {
		byNumber[n] = &WorkerChunk{Number: n, Workers: []KnownWorker{}}
		delete(c.dirtyChunks.numbers, n)
	}
	for id, w := range c.workers {
		if chunk := byNumber[chunkOf(id)]; chunk != nil && !w.parked {
			k := w.knownWorker()
			k.AccountedTerm = c.accountedTerm
			k.Speed = c.speeds.State(id)
			c.addUnstoredEnds(&k, w)
			c.addRemainingLease(&k, w)
			if lost := c.lostWorkers[id]; lost != nil {
				k.Suspects, k.UnconfirmedSuspects, k.LostAtMillis = lost.knownRuns(true), lost.knownRuns(false), lost.unresponsiveSince.UnixMilli()
			}
			chunk.Workers = append(chunk.Workers, k)
		}
	}
	chunks := make([]WorkerChunk, 0, len(byNumber))
	for _, chunk := range byNumber {
		chunks = append(chunks, *chunk)
	}
	sort.Slice(chunks, func(a, b int) bool { return chunks[a].Number < chunks[b].Number })
	return chunks
}

// chunksStored marks the workers of stored chunks as stored. The caller holds c.mu.
func (c *Cell) chunksStored(chunks []WorkerChunk) {
	for _, chunk := range chunks {
		for _, k := range chunk.Workers {
			if w := c.workers[k.ID]; w != nil && w.incarnation == k.Incarnation {
				w.stored = !k.Cordoned
			}
		}
	}
}
