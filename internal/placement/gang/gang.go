// Package gang places jobs that need all their tasks at once: all or none, on
// as few racks as possible.
package gang

import (
	"cmp"
	"slices"

	"gentianstand/internal/placement/batch"
	"gentianstand/internal/placement/cluster"
	"gentianstand/internal/placement/policy"
)

// Policy implements policy.Policy.
type Policy struct{}

// seat is a worker that can hold some tasks of the gang.
type seat struct {
	node  int
	count int64
	score int64
}

// bench is a rack with its seats.
type bench struct {
	rack  int
	total int64
	seats []seat
}

// Place chooses a worker for each task, or none at all. If one rack can hold
// the whole gang it takes the one with the least room to spare; otherwise it
// fills the largest racks first, so that the gang spans the fewest.
func (Policy) Place(c *cluster.Cluster, req policy.Request) policy.Decision {
	want := int64(req.Tasks)
	var benches []bench
	var total int64
	for r := range c.Racks() {
		b := benchOf(c, req, r)
		if b.total > 0 {
			benches = append(benches, b)
			total += b.total
		}
	}
	if total < want {
		return policy.Decision{Reason: reason(total)}
	}
	if i := tightest(benches, want); i >= 0 {
		benches = benches[i : i+1]
	}
	slices.SortStableFunc(benches, func(a, b bench) int { return cmp.Compare(b.total, a.total) })
	return policy.Decision{Nodes: fill(benches, req.Tasks), Reason: policy.Found}
}

func reason(total int64) policy.Reason {
	if total == 0 {
		return policy.NoCapacity
	}
	return policy.NotEnoughForGang
}

func benchOf(c *cluster.Cluster, req policy.Request, r int) bench {
	b := bench{rack: r}
	c.EachFitInRack(r, req.Need, func(i int, n *cluster.Node) {
		if req.Avoid != nil && req.Avoid(n.ID) {
			return
		}
		limit := int64(req.Tasks)
		if n.OnProbation {
			limit = 1
		}
		count := req.Need.CountIn(req.Usable(n.Free, n.FreeForLong), limit)
		if count > 0 {
			b.seats = append(b.seats, seat{node: i, count: count, score: batch.Score(n, req.Need)})
			b.total += count
		}
	})
	return b
}

// tightest returns the rack that holds the gang with the least to spare, or
// -1 if none holds it whole.
func tightest(benches []bench, want int64) int {
	best := -1
	for i, b := range benches {
		if b.total >= want && (best < 0 || b.total < benches[best].total) {
			best = i
		}
	}
	return best
}

func fill(benches []bench, tasks int) []int {
	nodes := make([]int, 0, tasks)
	for _, b := range benches {
		slices.SortStableFunc(b.seats, func(x, y seat) int { return cmp.Compare(x.score, y.score) })
		for _, s := range b.seats {
			for range s.count {
				if len(nodes) == tasks {
					return nodes
				}
				nodes = append(nodes, s.node)
			}
		}
	}
	return nodes
}
