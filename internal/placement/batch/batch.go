// Package batch places single tasks by best fit, so that large free areas remain for work that
// needs them.
package batch

import (
	"gentianstand/internal/placement/cluster"
	"gentianstand/internal/placement/policy"
	"gentianstand/internal/resource"
)

// scale converts fractions of a worker to integers, so that equal scores compare as equal.
const scale = 1 << 16

// acceleratorPenalty keeps tasks without accelerators off workers that have accelerators, as
// long as other workers have free capacity.
const acceleratorPenalty = 8 * scale

// Policy is best fit over all dimensions. It implements policy.Policy.
type Policy struct{}

// Place chooses the worker with the lowest Score, and the first of several workers with equal
// scores.
func (Policy) Place(c *cluster.Cluster, req policy.Request) policy.Decision {
	best := -1
	var lowest int64
	c.EachFit(req.Need, func(i int, n *cluster.Node) {
		if !req.Need.Fits(req.Usable(n.Free, n.FreeForLong)) || (req.Avoid != nil && req.Avoid(n.ID)) {
			return
		}
		score := Score(n, req.Need)
		if best < 0 || score < lowest {
			best, lowest = i, score
		}
	})
	if best < 0 {
		return policy.Decision{Reason: policy.NoCapacity}
	}
	return policy.Decision{Nodes: []int{best}, Reason: policy.Found}
}

// Score returns a score that is lower for a worker that need fits more tightly. It is the sum
// of the free shares after the placement and their imbalance: free processors without free
// memory, or the reverse, cannot be used.
func Score(n *cluster.Node, need resource.Amount) int64 {
	left := n.Free.Sub(need)
	cpu := share(left.MilliCPU, n.Capacity.MilliCPU)
	memory := share(left.MemoryMiB, n.Capacity.MemoryMiB)
	score := cpu + memory + abs(cpu-memory)
	if n.Capacity.Accelerators > 0 {
		score += share(left.Accelerators, n.Capacity.Accelerators)
		if need.Accelerators == 0 {
			score += acceleratorPenalty
		}
	}
	return score
}

func share(part, whole int64) int64 {
	if whole == 0 {
		return 0
	}
	return part * scale / whole
}

func abs(x int64) int64 {
	if x < 0 {
		return -x
	}
	return x
}
