package cell

import "slices"

// Upper bounds for the sizes of the stored entry of a worker without its id and address, and of a run in it.
const (
	knownWorkerOverhead = 200
	knownRunBytes       = 64
)

// pendingChunks returns the numbers of the chunks that differ from the store and are not rejected.
func (c *Cell) pendingChunks() []int {
	var numbers []int
	for n := range c.dirtyChunks.numbers {
		if _, rejected := c.rejectedRows.chunks[n]; !rejected {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// minJobEntries is the number of entries that chunks leave to jobs: one that ends takes two.
const minJobEntries = 2

// fittingChunks returns the numbers of the chunks for the next commit, and reduces the room by them. They
// take up to half of the bytes and leave minJobEntries, so that there is room for jobs, and are always at
// least one.
func (c *Cell) fittingChunks(room *commitRoom) []int {
	pending := c.pendingChunks()
	if len(pending) == 0 {
		return nil
	}
	sizes := c.chunkSizes()
	reserved := room.bytes / 2
	var numbers []int
	for _, n := range pending {
		if len(numbers) > 0 && (room.entries <= minJobEntries || room.bytes-entryBytes(sizes[n]) < reserved) {
			break
		}
		room.take(1, sizes[n])
		room.items--
		numbers = append(numbers, n)
	}
	return numbers
}

// chunkSizes returns upper bounds for the sizes of the encoded chunks.
func (c *Cell) chunkSizes() map[int]int {
	sizes := map[int]int{}
	for id, w := range c.workers {
		if w.parked {
			continue
		}
		runs := 0
		if w.cordoned {
			runs = len(w.attempts) + len(w.uncountedRuns) + len(w.unstoredEnds)
		}
		if lost := c.lostWorkers[id]; lost != nil {
			runs += len(lost.knownRuns(true)) + len(lost.knownRuns(false))
		}
		sizes[chunkOf(id)] += knownWorkerOverhead + len(w.ID) + len(w.Address) + runs*knownRunBytes
	}
	return sizes
}
