package cell

import (
	"cmp"
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

// mostRoomFirst sorts workers in the order in which a stage asks about them: those near
// its data, then those that take most of its tasks, and among equals by lot, each stage
// its own, so that many stages do not all ask about the same workers. Tasks that fill go
// where fewest tasks serve.
func (c *Cell) mostRoomFirst(list []*worker, s *stage) {
	prefix := s.id.String()
	candidates := make([]askCandidate, len(list))
	for i, w := range list {
		candidates[i] = askCandidate{w, s.near(w), c.takes(s, w), xxhash.Sum64String(prefix + w.ID)}
	}
	slices.SortFunc(candidates, func(a, b askCandidate) int {
		switch {
		case a.near && !b.near:
			return -1
		case b.near && !a.near:
			return 1
		case s.step.Fills && a.w.servers != b.w.servers:
			return cmp.Compare(a.w.servers, b.w.servers)
		}
		return cmp.Or(cmp.Compare(b.takes, a.takes), cmp.Compare(a.lot, b.lot))
	})
	for i := range candidates {
		list[i] = candidates[i].w
	}
}
