// Package service spreads the replicas of a service, so that the loss of a rack or an
// availability zone affects as few of them as possible.
package service

import (
	"gentianstand/internal/placement/batch"
	"gentianstand/internal/placement/cluster"
	"gentianstand/internal/placement/policy"
	"gentianstand/internal/spec"
)

// Policy implements policy.Policy.
type Policy struct{}

// rank orders workers for a replica. Lower is better; earlier fields take precedence.
type rank struct {
	zone, rack, node int
	score            int64
}

func (a rank) less(b rank) bool {
	switch {
	case a.zone != b.zone:
		return a.zone < b.zone
	case a.rack != b.rack:
		return a.rack < b.rack
	case a.node != b.node:
		return a.node < b.node
	default:
		return a.score < b.score
	}
}

// Place chooses the worker in the zone, rack and node with the fewest replicas, as far as the
// spread of the request requires it. Ties go to the tightest fit, then to the first worker. Racks
// that cannot contain a better worker than the best found so far are skipped.
func (Policy) Place(c *cluster.Cluster, req policy.Request) policy.Decision {
	counts := c.Counts(req.Workload)
	best := -1
	var lowest rank
	for r := range c.Racks() {
		floor := floorRank(c, counts, req.Spread, r)
		if best >= 0 && !floor.less(lowest) || !c.RackMayFit(r, req.Need) {
			continue
		}
		c.EachFitInRack(r, req.Need, func(i int, n *cluster.Node) {
			if !req.Need.Fits(req.Usable(n.Free, n.FreeForLong)) || (req.Avoid != nil && req.Avoid(n.ID)) {
				return
			}
			at := floor
			at.node = counts.Node(i)
			if req.Spread == spec.SpreadNone {
				at.node = 0
			}
			at.score = batch.Score(n, req.Need)
			if best < 0 || at.less(lowest) {
				best, lowest = i, at
			}
		})
	}
	if best < 0 {
		return policy.Decision{Reason: policy.NoCapacity}
	}
	return policy.Decision{Nodes: []int{best}, Reason: policy.Found}
}

// floorRank returns the lowest rank that a worker of a rack can have.
func floorRank(c *cluster.Cluster, counts *cluster.Counts, spread spec.Spread, r int) rank {
	var floor rank
	if spread == spec.SpreadZone {
		floor.zone = counts.InZone(c.ZoneOfRack(r))
	}
	if spread == spec.SpreadZone || spread == spec.SpreadRack {
		floor.rack = counts.InRack(r)
	}
	return floor
}
