package order

import (
	"cmp"
	"slices"
	"time"

	"gentianstand/internal/resource"
)

// dueWindow is how close the latest start must be for work to be ordered before fairness.
const dueWindow = 10 * time.Minute

// Sort orders items by these criteria: urgency; services first, so that their replicas are not
// limited to what a batch run leaves; work that would miss its deadline; teams within their
// quota before teams that borrow; among borrowing teams the one with the smallest share; the
// longest wait. A team without work takes nothing, so its share is available to the others.
func Sort(items []Item, shares map[string]Share, total resource.Amount, now time.Time) {
	dominant := make(map[string]float64, len(shares))
	overQuota := make(map[string]bool, len(shares))
	for team, s := range shares {
		dominant[team] = s.DominantShare(total)
		overQuota[team] = s.OverQuota()
	}
	slices.SortStableFunc(items, func(a, b Item) int {
		if c := cmp.Compare(a.Rank, b.Rank); c != 0 {
			return c
		}
		if c := compareBool(!a.Service, !b.Service); c != 0 {
			return c
		}
		if c := compareDue(a, b, now); c != 0 {
			return c
		}
		if c := compareBool(overQuota[a.Team], overQuota[b.Team]); c != 0 {
			return c
		}
		if c := compareShare(dominant[a.Team], dominant[b.Team], overQuota[a.Team]); c != 0 {
			return c
		}
		if c := a.ReadySince.Compare(b.ReadySince); c != 0 {
			return c
		}
		return cmp.Compare(a.Run, b.Run)
	})
}

func compareDue(a, b Item, now time.Time) int {
	soonA, soonB := isSoon(a, now), isSoon(b, now)
	if soonA && soonB {
		return a.LatestStart.Compare(b.LatestStart)
	}
	return -compareBool(soonA, soonB)
}

func isSoon(i Item, now time.Time) bool {
	return !i.LatestStart.IsZero() && i.LatestStart.Sub(now) <= dueWindow
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// compareShare orders borrowing teams by their share. Teams within their quota are entitled to
// what they request, so among them the longest waiting goes first.
func compareShare(a, b float64, borrowing bool) int {
	if !borrowing {
		return 0
	}
	return cmp.Compare(a, b)
}
