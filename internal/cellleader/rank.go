package cellleader

import (
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
	"time"

	"gentianstand/internal/cellpeer"
)

// rank is the position of an instance among those that may succeed an owner.
type rank struct {
	// index is the position in the order of succession, from 0.
	index int
	// weaker is true if another instance has more CPU.
	weaker bool
}

// rank returns this instance's rank for a term.
func (l *Leader) rank(term uint64) rank {
	self := l.directory.Self()
	candidates := []cellpeer.Instance{self}
	for _, other := range l.directory.Others() {
		// The holder of the last claim does not succeed itself, or takes the cell back before all
		// others; see replacesOwner.
		if other.Name != l.current().Holder {
			candidates = append(candidates, other)
		}
	}
	return rankAmong(self, candidates, term)
}

// takeOverDelay returns how long this instance leaves the takeover of a term to others.
func (l *Leader) takeOverDelay(term uint64) time.Duration { return l.rank(term).takeOverDelay() }

// rankAmong returns the rank of one of the candidates. Those with the most CPU come first,
// because the owner of a large cell does more work than all other instances together. A hash
// decides among equals.
func rankAmong(self cellpeer.Instance, candidates []cellpeer.Instance, term uint64) rank {
	sort.Slice(candidates, func(a, b int) bool {
		if candidates[a].Cores != candidates[b].Cores {
			return candidates[a].Cores > candidates[b].Cores
		}
		return tieBreak(candidates[a].Name, term) < tieBreak(candidates[b].Name, term)
	})
	index := slices.IndexFunc(candidates, func(i cellpeer.Instance) bool { return i.Name == self.Name })
	return rank{index: index, weaker: self.Cores < candidates[0].Cores}
}

// pingsOften reports whether an instance of this rank pings the owner often.
func (r rank) pingsOften() bool { return r.index < frequentPingers }

// takeOverDelay returns how long an instance of this rank leaves the takeover of a term to
// others.
func (r rank) takeOverDelay() time.Duration {
	d := time.Duration(min(r.index, staggeredCandidates)) * stagger
	if r.index > staggeredCandidates {
		d += time.Duration(r.index-staggeredCandidates) * lateStagger
	}
	if r.weaker {
		d += weakDelay
	}
	return d
}

// tieBreak orders equal instances, differently for each term.
func tieBreak(name string, term uint64) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(strconv.FormatUint(term, 10) + name)) // Write of a hash never returns an error
	return h.Sum32()
}
