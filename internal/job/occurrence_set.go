package job

import (
	"fmt"
	"slices"
	"sort"
)

// OccurrenceSet is a set of occurrences: the bounds of ranges in ascending order, each with its first
// occurrence and the one after its last.
type OccurrenceSet []int

// Contains reports whether an occurrence is in the set.
func (s OccurrenceSet) Contains(occurrence int) bool {
	return sort.SearchInts(s, occurrence+1)%2 == 1
}

// Count returns the number of occurrences in the set.
func (s OccurrenceSet) Count() int {
	n := 0
	for i := 0; i+1 < len(s); i += 2 {
		n += s[i+1] - s[i]
	}
	return n
}

// Add returns the set with one more occurrence. It does not change s.
func (s OccurrenceSet) Add(occurrence int) OccurrenceSet {
	if s.Contains(occurrence) {
		return s
	}
	at := sort.SearchInts(s, occurrence+1) // even: the start of the next range
	after := at < len(s) && s[at] == occurrence+1
	before := at > 0 && s[at-1] == occurrence
	added := slices.Clone(s)
	switch {
	case before && after:
		return slices.Delete(added, at-1, at+1)
	case before:
		added[at-1]++
	case after:
		added[at]--
	default:
		added = slices.Insert(added, at, occurrence, occurrence+1)
	}
	return added
}

// Each calls f with each occurrence, in ascending order.
func (s OccurrenceSet) Each(f func(occurrence int)) {
	for i := 0; i+1 < len(s); i += 2 {
		for k := s[i]; k < s[i+1]; k++ {
			f(k)
		}
	}
}

// validate returns an error unless the bounds are those of a set of possible occurrences.
func (s OccurrenceSet) validate() error {
	if len(s)%2 == 1 {
		return fmt.Errorf("%d bounds of ranges", len(s))
	}
	for i := range s {
		if s[i] < 0 || s[i] > MaxOccurrences || i > 0 && s[i] <= s[i-1] {
			return fmt.Errorf("bound %d of a range", s[i])
		}
	}
	return nil
}
