package cellleader

import (
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
	"time"

	"gentianstand/internal/cellpeer"
)

// place is where an instance stands among those that may succeed an owner.
type place struct {
	// number counts from 0, the first to succeed.
	number int
	// weak says that others have more processors.
	weak bool
}

// place returns this instance's place for a term.
func (l *Leader) place(term uint64) place {
	self := l.directory.Self()
	candidates := []cellpeer.Instance{self}
	for _, other := range l.directory.Others() {
		// The holder of the last claim does not succeed itself, or knows before all
		// others that it may; see returns.
		if other.Name != l.current().Holder {
			candidates = append(candidates, other)
		}
	}
	return placeAmong(self, candidates, term)
}

// delay is how long this instance leaves a term to others.
func (l *Leader) delay(term uint64) time.Duration { return l.place(term).delay() }

// placeAmong returns the place of one of the candidates: the strongest come first,
// because the owner of a large cell works more than all other instances together, and
// among equals the lot decides.
func placeAmong(self cellpeer.Instance, candidates []cellpeer.Instance, term uint64) place {
	sort.Slice(candidates, func(a, b int) bool {
		if candidates[a].Cores != candidates[b].Cores {
			return candidates[a].Cores > candidates[b].Cores
		}
		return lot(candidates[a].Name, term) < lot(candidates[b].Name, term)
	})
	number := slices.IndexFunc(candidates, func(i cellpeer.Instance) bool { return i.Name == self.Name })
	return place{number: number, weak: self.Cores < candidates[0].Cores}
}

// eager reports whether an instance in this place pings the owner often.
func (p place) eager() bool { return p.number < eagerPlaces }

// delay is how long an instance in this place leaves a term to others.
func (p place) delay() time.Duration {
	d := time.Duration(min(p.number, firstCandidates)) * stagger
	if p.number > firstCandidates {
		d += time.Duration(p.number-firstCandidates) * crowdStagger
	}
	if p.weak {
		d += weakDelay
	}
	return d
}

func lot(name string, term uint64) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(strconv.FormatUint(term, 10) + name)) // a hash never fails
	return h.Sum32()
}
