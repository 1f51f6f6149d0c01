package cell

import (
	"hash/fnv"
	"sort"
	"time"

	"gentianstand/internal/roster"
)

// workerChunks is over how many stored values the known workers are spread, so
// that 3,000 of them fit into values of 64 KiB and a change writes little.
const workerChunks = 16

// knownWorkers tells which chunks are ahead of the store. Every worker is stored before
// the first run is placed on it, and stays stored until nothing can run there any more, or
// it is parked: one that is cut off from the store vanishes from the roster and goes on
// running.
type knownWorkers struct{ unsaved map[int]struct{} }

func newKnownWorkers() knownWorkers { return knownWorkers{unsaved: map[int]struct{}{}} }

func chunkOf(workerID string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(workerID)) // a hash never fails
	return int(h.Sum32() % workerChunks)
}

func (k *knownWorkers) changed(workerID string) { k.unsaved[chunkOf(workerID)] = struct{}{} }

// Inherit takes in the workers that an earlier owner stored in a chunk. Those
// that the roster lacks are looked at like the others. It must be called after
// SetRoster and after the jobs were loaded.
func (c *Cell) Inherit(workers []KnownWorker, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range workers {
		w := c.workers[k.ID]
		if w == nil {
			w = newWorker(roster.Worker{ID: k.ID, Incarnation: k.Born, Address: k.Address}, now)
			c.workers[k.ID] = w
			c.unregister(w, now)
		}
		if k.Born != 0 && k.Born < w.incarnation {
			c.inheritCrash(w, k, now)
			continue
		}
		if w.parked {
			c.setParked(w, false)
		}
		w.named = true
		c.inheritLease(w, k, now)
		if k.Born > w.incarnation {
			// The roster is behind.
			c.setIncarnation(w, k.Born)
		}
		w.saved = !k.Closed && (k.Born == 0 || k.Born == w.incarnation)
		if !w.saved {
			c.known.changed(w.ID)
		}
		if k.Closed {
			c.inheritRuns(w, k.Runs, now)
		}
		c.inheritSuspects(w, k.Suspects)
	}
}

// inheritCrash takes in what was stored of a worker that has restarted since: what ran there
// has ended, and on the new incarnation nothing was started.
func (c *Cell) inheritCrash(w *worker, k KnownWorker, now time.Time) {
	c.inheritSuspects(w, k.Suspects)
	c.workerCrashed(w.ID, now)
	c.known.changed(w.ID)
}

// InheritedAll tells that Inherit was called with every chunk. On other workers no earlier
// owner can have started anything: it would have stored them before, and since this owner
// holds the claim it can store nothing more. So they are not waited for.
func (c *Cell) InheritedAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inheritedAll = true
	for _, w := range c.workers {
		w.accounted = w.accounted || !w.named
	}
}

// takeChunks returns the chunks to store; c.mu is held.
func (c *Cell) takeChunks() []WorkerChunk {
	if len(c.known.unsaved) == 0 {
		return nil
	}
	byNumber := map[int]*WorkerChunk{}
	for n := range c.known.unsaved {
		byNumber[n] = &WorkerChunk{Number: n, Workers: []KnownWorker{}}
	}
	for id, w := range c.workers {
		if chunk := byNumber[chunkOf(id)]; chunk != nil && !w.parked {
			k := w.known()
			c.tellLease(&k, w)
			if lost := c.lost[id]; lost != nil {
				k.Suspects = lost.known()
			}
			chunk.Workers = append(chunk.Workers, k)
		}
	}
	chunks := make([]WorkerChunk, 0, len(byNumber))
	for _, chunk := range byNumber {
		chunks = append(chunks, *chunk)
	}
	sort.Slice(chunks, func(a, b int) bool { return chunks[a].Number < chunks[b].Number })
	c.known.unsaved = map[int]struct{}{}
	return chunks
}

// chunksStored notes that chunks were stored; c.mu is held.
func (c *Cell) chunksStored(chunks []WorkerChunk) {
	for _, chunk := range chunks {
		for _, k := range chunk.Workers {
			if w := c.workers[k.ID]; w != nil && w.incarnation == k.Born {
				w.saved = !k.Closed
			}
		}
	}
}
