package advicebudget

import (
	"cmp"
	"slices"
)

const (
	// MaxWorkers bounds the workers of one call. A call about 60 workers takes nearly twice as long
	// as one about none, and holds its slot for that time.
	MaxWorkers = 60
	// minWorkers is the least number of workers of a call that names workers without a verdict. With
	// a third of the workers allowed, a smaller call often returns no ticket at all.
	minWorkers = 8
)

// Choose returns the indexes of the workers that a call should name, best first, or none if no task
// could start even if all of them were allowed. It reorders the candidates.
func Choose(candidates []Candidate, d Demand) []int {
	slices.SortFunc(candidates, func(a, b Candidate) int { return compare(&a, &b, d.AllowedShare) })
	var chosen []int
	starts, fit := 0.0, 0.0
	for i := range candidates {
		c := &candidates[i]
		if len(chosen) == MaxWorkers || d.enough(starts) && (len(chosen) >= minWorkers || c.Allowed) {
			break
		}
		if c.AtExpiry <= 0 {
			continue
		}
		chosen = append(chosen, c.Index)
		starts += c.expectedStarts(d.AllowedShare)
		fit += c.AtExpiry
	}
	if d.impossible(fit) {
		return nil
	}
	return chosen
}

func compare(a, b *Candidate, share float64) int {
	if a.Preferred != b.Preferred {
		if a.Preferred {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.expectedStarts(share), a.expectedStarts(share)), cmp.Compare(a.TieBreak, b.TieBreak))
}
