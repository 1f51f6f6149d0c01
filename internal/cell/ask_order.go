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
	// near says that it is where the stage's data is.
	near bool
	// takes is how many of the stage's tasks it has room for.
	takes float64
	lot   uint64
}

// mostRoomFirst returns the workers that a stage asks about first, as many as a question may
// name: those near its data, then those that take most of its tasks, and among equals by
// lot, each stage its own, so that many stages do not all ask about the same workers.
// Tasks that fill go where fewest tasks serve.
func (c *Cell) mostRoomFirst(list []*worker, s *stage) []*worker {
	order := askOrder{stage: s, kept: make([]askCandidate, 0, min(len(list), mostAsked))}
	seed := xxhash.Sum64String(s.id.String())
	for _, w := range list {
		order.offer(askCandidate{w, s.near(w), c.takes(s, w), lot(seed, w.lot)})
	}
	slices.SortFunc(order.kept, order.compare)
	first := list[:len(order.kept)]
	for i := range first {
		first[i] = order.kept[i].w
	}
	return first
}

// lot draws a number for two hashes.
func lot(a, b uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	mixed := (a ^ b) * odd
	return mixed ^ mixed>>32
}

// askOrder keeps the first mostAsked candidates of a stage. Once it has so many they are a
// heap with the last of them on top.
type askOrder struct {
	stage *stage
	kept  []askCandidate
}

// offer keeps a candidate if it is among the first so far.
func (o *askOrder) offer(c askCandidate) {
	if len(o.kept) < mostAsked {
		o.kept = append(o.kept, c)
		if len(o.kept) == mostAsked {
			heap.Init(o)
		}
		return
	}
	if o.compare(c, o.kept[0]) < 0 {
		o.kept[0] = c
		heap.Fix(o, 0)
	}
}

func (o *askOrder) compare(a, b askCandidate) int {
	switch {
	case a.near && !b.near:
		return -1
	case b.near && !a.near:
		return 1
	case o.stage.step.BestEffort && a.w.servers != b.w.servers:
		return cmp.Compare(a.w.servers, b.w.servers)
	}
	return cmp.Or(cmp.Compare(b.takes, a.takes), cmp.Compare(a.lot, b.lot))
}

// Len implements heap.Interface.
func (o *askOrder) Len() int { return len(o.kept) }

// Less implements heap.Interface.
func (o *askOrder) Less(i, j int) bool { return o.compare(o.kept[i], o.kept[j]) > 0 }

// Swap implements heap.Interface.
func (o *askOrder) Swap(i, j int) { o.kept[i], o.kept[j] = o.kept[j], o.kept[i] }

// Push implements heap.Interface; candidates are replaced, never added.
func (o *askOrder) Push(any) {}

// Pop implements heap.Interface; see Push.
func (o *askOrder) Pop() any { return nil }
