package cellleader

import (
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
	"time"

	"gentianstand/internal/cellpeer"
)

// delay is how long this instance leaves a term to others.
func (l *Leader) delay(term uint64) time.Duration {
	self := l.directory.Self()
	candidates := []cellpeer.Instance{self}
	for _, other := range l.directory.Others() {
		// The holder of the last claim does not succeed itself, or knows before all
		// others that it may; see returns.
		if other.Name != l.current().Holder {
			candidates = append(candidates, other)
		}
	}
	return candidateDelay(self, candidates, term)
}

// candidateDelay is how long one of the candidates leaves a term to others: the
// strongest come first, because the owner of a large cell works more than all other
// instances together, and among equals the lot decides.
func candidateDelay(self cellpeer.Instance, candidates []cellpeer.Instance, term uint64) time.Duration {
	sort.Slice(candidates, func(a, b int) bool {
		if candidates[a].Cores != candidates[b].Cores {
			return candidates[a].Cores > candidates[b].Cores
		}
		return lot(candidates[a].Name, term) < lot(candidates[b].Name, term)
	})
	place := slices.IndexFunc(candidates, func(i cellpeer.Instance) bool { return i.Name == self.Name })
	if self.Cores < candidates[0].Cores {
		return placeDelay(place) + weakDelay
	}
	return placeDelay(place)
}

// placeDelay returns the delay of a place in the order of candidates.
func placeDelay(place int) time.Duration {
	if place <= firstCandidates {
		return time.Duration(place) * stagger
	}
	return firstCandidates*stagger + time.Duration(place-firstCandidates)*crowdStagger
}

func lot(name string, term uint64) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(strconv.FormatUint(term, 10) + name)) // a hash never fails
	return h.Sum32()
}
