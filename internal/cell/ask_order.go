package cell

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// askCandidate is a worker that may be included in an adviser call.
type askCandidate struct {
	w *worker
	// local is set if the worker is in the rack with the stage's data.
	local bool
	// capacity is the number of the stage's tasks that fit into the worker's free capacity.
	capacity float64
	tieBreak uint64
}

// topAskCandidates returns the workers to ask about first, at most maxAskedWorkers. Workers
// near the stage's data come first, then those with free capacity, of these the ones that its
// placement prefers by their speed, and then those that fit most of its tasks. Ties are broken by
// a hash that differs between stages, so that many stages do not ask about the same workers.
// Best-effort stages prefer workers with few latency-sensitive tasks.
func (c *Cell) topAskCandidates(list []*worker, s *stage) []*worker {
	order := askOrder{stage: s, top: make([]askCandidate, 0, min(len(list), maxAskedWorkers))}
	seed := stageHash(s)
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

func stageHash(s *stage) uint64 { return xxhash.Sum64String(s.id.String()) }

// tieBreak mixes two hashes into a pseudo-random order key.
func tieBreak(a, b uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	mixed := (a ^ b) * multiplier
	return mixed ^ mixed>>32
}

// askOrder keeps the best maxAskedWorkers candidates of a stage. A full list is a heap with
// the worst candidate on top.
type askOrder struct {
	stage *stage
	top   []askCandidate
}

// offer adds a candidate if it ranks among the best so far.
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
	if byRank := o.stage.preference.Compare(a.w.speedClass, b.w.speedClass); byRank != 0 && (a.capacity > 0) == (b.capacity > 0) {
		return byRank
	}
	return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.tieBreak, b.tieBreak))
}

// Len implements heap.Interface.
func (o *askOrder) Len() int { return len(o.top) }

// Less implements heap.Interface.
func (o *askOrder) Less(i, j int) bool { return o.compare(o.top[i], o.top[j]) > 0 }

// Swap implements heap.Interface.
func (o *askOrder) Swap(i, j int) { o.top[i], o.top[j] = o.top[j], o.top[i] }

// Push implements heap.Interface. Candidates are replaced in place, so it does nothing.
func (o *askOrder) Push(any) {}

// Pop implements heap.Interface; see Push.
func (o *askOrder) Pop() any { return nil }
