package order

import (
	"cmp"
	"slices"
	"time"

	"gentianstand/internal/resource"
)

// dueWindow is how close a due time must be to go before fairness.
const dueWindow = 10 * time.Minute

// Sort orders items: the urgent first; then services, whose replicas must not
// be squeezed onto what a batch run leaves; then work that would miss its
// deadline; then teams within their quota before borrowers; then the team with the
// smallest share; then the longest waiting. Teams without work take nothing,
// so what they leave goes to the others.
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

// compareShare orders borrowers by what they use. Teams within their quota are
// entitled to what they ask for, so among them the longest waiting goes first.
func compareShare(a, b float64, borrowing bool) int {
	if !borrowing {
		return 0
	}
	return cmp.Compare(a, b)
}
