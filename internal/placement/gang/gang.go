// Package gang places jobs whose tasks must all start together: all tasks or none, on as few
// racks as possible.
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

// nodeSlots is a worker and the number of tasks of the gang that it can hold.
type nodeSlots struct {
	node  int
	count int64
	score int64
}

// rackSlots is a rack and its workers that can hold tasks of the gang.
type rackSlots struct {
	rack  int
	total int64
	nodes []nodeSlots
}

// Place chooses a worker for each task, or none at all. If one rack can hold the whole gang,
// the rack with the least spare capacity is used. Otherwise the largest racks are filled
// first, so that the gang spans the fewest racks.
func (Policy) Place(c *cluster.Cluster, req policy.Request) policy.Decision {
	want := int64(req.Tasks)
	var racks []rackSlots
	var total int64
	for r := range c.Racks() {
		b := slotsInRack(c, req, r)
		if b.total > 0 {
			racks = append(racks, b)
			total += b.total
		}
	}
	if total < want {
		return policy.Decision{Reason: reason(total)}
	}
	if i := tightest(racks, want); i >= 0 {
		racks = racks[i : i+1]
	}
	slices.SortStableFunc(racks, func(a, b rackSlots) int { return cmp.Compare(b.total, a.total) })
	return policy.Decision{Nodes: fill(racks, req.Tasks), Reason: policy.Found}
}

func reason(total int64) policy.Reason {
	if total == 0 {
		return policy.NoCapacity
	}
	return policy.NotEnoughForGang
}

func slotsInRack(c *cluster.Cluster, req policy.Request, r int) rackSlots {
	b := rackSlots{rack: r}
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
			b.nodes = append(b.nodes, nodeSlots{node: i, count: count, score: batch.Score(n, req.Need)})
			b.total += count
		}
	})
	return b
}

// tightest returns the rack that holds the gang with the least spare capacity, or -1 if no single
// rack can hold it.
func tightest(racks []rackSlots, want int64) int {
	best := -1
	for i, b := range racks {
		if b.total >= want && (best < 0 || b.total < racks[best].total) {
			best = i
		}
	}
	return best
}

func fill(racks []rackSlots, tasks int) []int {
	nodes := make([]int, 0, tasks)
	for _, b := range racks {
		slices.SortStableFunc(b.nodes, func(x, y nodeSlots) int { return cmp.Compare(x.score, y.score) })
		for _, s := range b.nodes {
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
