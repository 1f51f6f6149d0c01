package cell

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// askCandidate is a worker that a stage may ask about.
type askCandidate struct {
	w *worker
	// local says that it is where the stage's data is.
	local bool
	// capacity is how many of the stage's tasks it has room for.
	capacity float64
	tieBreak uint64
}

// topAskCandidates returns the workers that a stage asks about first, as many as a question may
// name: those near its data, then those that take most of its tasks, and among equals by
// lot, each stage its own, so that many stages do not all ask about the same workers.
// Tasks that fill go where fewest tasks serve.
func (c *Cell) topAskCandidates(list []*worker, s *stage) []*worker {
	order := askOrder{stage: s, top: make([]askCandidate, 0, min(len(list), maxAskedWorkers))}
	seed := xxhash.Sum64String(s.id.String())
	for _, w := range list {
		order.offer(askCandidate{w, s.isLocal(w), c.capacityFor(s, w), tieBreak(seed, w.idHash)})
	}
	slices.SortFunc(order.top, order.compare)
	first := list[:len(order.top)]
	for i := range first {
		first[i] = order.top[i].w
	}
	return first
}

// tieBreak draws a number for two hashes.
func tieBreak(a, b uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	mixed := (a ^ b) * odd
	return mixed ^ mixed>>32
}

// askOrder keeps the first mostAsked candidates of a stage. Once it has so many they are a
// heap with the last of them on top.
type askOrder struct {
	stage *stage
	top   []askCandidate
}

// offer keeps a candidate if it is among the first so far.
func (o *askOrder) offer(c askCandidate) {
	if len(o.top) < maxAskedWorkers {
		o.top = append(o.top, c)
		if len(o.top) == maxAskedWorkers {
			heap.Init(o)
		}
		return
	}
	if o.compare(c, o.top[0]) < 0 {
		o.top[0] = c
		heap.Fix(o, 0)
	}
}

func (o *askOrder) compare(a, b askCandidate) int {
	switch {
	case a.local && !b.local:
		return -1
	case b.local && !a.local:
		return 1
	case o.stage.step.BestEffort && a.w.latencySensitive != b.w.latencySensitive:
		return cmp.Compare(a.w.latencySensitive, b.w.latencySensitive)
	}
	return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.tieBreak, b.tieBreak))
}

// Len implements heap.Interface.
func (o *askOrder) Len() int { return len(o.top) }

// Less implements heap.Interface.
func (o *askOrder) Less(i, j int) bool { return o.compare(o.top[i], o.top[j]) > 0 }

// Swap implements heap.Interface.
func (o *askOrder) Swap(i, j int) { o.top[i], o.top[j] = o.top[j], o.top[i] }

// Push implements heap.Interface; candidates are replaced, never added.
func (o *askOrder) Push(any) {}

// Pop implements heap.Interface; see Push.
func (o *askOrder) Pop() any { return nil }
