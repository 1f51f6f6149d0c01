package preempt

import (
	"cmp"
	"slices"

	"gentianstand/internal/placement/cluster"
	"gentianstand/internal/resource"
)

// Choose returns a worker and the tasks to stop there so that need fits, with the least loss of
// work. It returns -1 if no set of allowed victims frees enough.
func Choose(c *cluster.Cluster, need resource.Amount, rank int, team string, victims []Victim) (int, []Victim) {
	byNode := map[int][]Victim{}
	for _, v := range victims {
		if allowed(v, rank, team) {
			byNode[v.Node] = append(byNode[v.Node], v)
		}
	}
	best, lowest := -1, int64(0)
	var chosen []Victim
	for i := range c.Len() {
		n := c.Node(i)
		if n.Unschedulable || !need.Fits(n.Capacity) {
			continue
		}
		set, loss, ok := cheapest(n.Free, need, byNode[i])
		if ok && (best < 0 || loss < lowest) {
			best, lowest, chosen = i, loss, set
		}
	}
	return best, chosen
}

func allowed(v Victim, rank int, team string) bool {
	if v.Rank <= rank || !v.Repeatable {
		return false
	}
	return !v.Protected || v.Team == team
}

// cheapest selects victims by ascending loss until need fits. It then drops victims that are
// not needed, those with the highest loss first.
func cheapest(free, need resource.Amount, victims []Victim) ([]Victim, int64, bool) {
	slices.SortStableFunc(victims, func(a, b Victim) int { return cmp.Compare(a.loss(), b.loss()) })
	var set []Victim
	for _, v := range victims {
		if need.Fits(free) {
			break
		}
		free = free.Add(v.Need)
		set = append(set, v)
	}
	if !need.Fits(free) {
		return nil, 0, false
	}
	set = dropUnneeded(free, need, set)
	var loss int64
	for _, v := range set {
		loss += v.loss()
	}
	return set, loss, true
}

func dropUnneeded(free, need resource.Amount, set []Victim) []Victim {
	var kept []Victim
	for i := len(set) - 1; i >= 0; i-- {
		without := free.Sub(set[i].Need)
		if need.Fits(without) {
			free = without
			continue
		}
		kept = append(kept, set[i])
	}
	slices.Reverse(kept)
	return kept
}
