package workorder

import (
	"cmp"
	"strings"
)

// Criterion compares two items by one property: below 0, a comes first.
type Criterion func(a, b *Item) int

// ByPriority puts more urgent queues first.
func ByPriority(a, b *Item) int { return cmp.Compare(a.Priority, b.Priority) }

// ByShare puts jobs within the share of their workspace first.
func ByShare(a, b *Item) int { return trueLast(a.OverShare, b.OverShare) }

// LateLast puts work that can still be in time first.
func LateLast(a, b *Item) int { return trueLast(a.Late, b.Late) }

// StartedFirst puts started stages first, so that new jobs do not take the capacity of half-done
// ones.
func StartedFirst(a, b *Item) int { return -trueLast(a.Started, b.Started) }

// UrgentSmallestFirst orders the most urgent work by its remaining work. Its slack is less than the
// time of a stop, so that in a burst not all of it can be in time, and many small jobs are in time
// instead of a few large ones. Other queues have jobs that differ by far more in size; there, the
// largest would never be in time.
func UrgentSmallestFirst(a, b *Item) int {
	if a.Priority > 0 || b.Priority > 0 {
		return 0
	}
	return cmp.Compare(a.RemainingWork, b.RemainingWork)
}

// LateShortestFirst orders late work by its remaining path; otherwise a burst would make every job
// late.
func LateShortestFirst(a, b *Item) int {
	if !a.Late || !b.Late {
		return 0
	}
	return cmp.Compare(a.RemainingPath, b.RemainingPath)
}

// ByLatestStart puts work with the earliest latest start first.
func ByLatestStart(a, b *Item) int { return a.LatestStart.Compare(b.LatestStart) }

// ByJob breaks ties.
func ByJob(a, b *Item) int { return strings.Compare(a.Job, b.Job) }

func trueLast(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
