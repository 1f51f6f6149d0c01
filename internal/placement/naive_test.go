package placement_test

import (
	"gentianstand/internal/placement/cluster"
	"gentianstand/internal/placement/policy"
	"gentianstand/internal/resource"
	"gentianstand/internal/spec"
)

// placedTask is a task in the flat list of a naiveCluster.
type placedTask struct {
	node     int
	workload string
	need     resource.Amount
}

// naiveCluster is a simple, slow reference implementation: it computes the free amounts from
// the list of all tasks on every query.
type naiveCluster struct {
	nodes []cluster.Node
	tasks []placedTask
}

func (c *naiveCluster) free(node int) resource.Amount {
	free := c.nodes[node].Capacity
	for _, t := range c.tasks {
		if t.node == node {
			free = free.Sub(t.need)
		}
	}
	return free
}

func (c *naiveCluster) count(workload string, same func(n cluster.Node) bool) int {
	count := 0
	for _, t := range c.tasks {
		if t.workload == workload && same(c.nodes[t.node]) {
			count++
		}
	}
	return count
}

func (c *naiveCluster) candidates(need resource.Amount) []int {
	var list []int
	for i := range c.nodes {
		if !c.nodes[i].Unschedulable && need.Fits(c.free(i)) {
			list = append(list, i)
		}
	}
	return list
}

// naiveBatch is the batch policy as a scan of all workers.
func naiveBatch(c *naiveCluster, req policy.Request) int {
	return naiveBest(c, req, batchRank)
}

// naiveBest returns the candidate with the lowest rank, or -1.
func naiveBest(c *naiveCluster, req policy.Request, rankOf func(*naiveCluster, policy.Request, int) [4]int64) int {
	best := -1
	var lowest [4]int64
	for _, i := range c.candidates(req.Need) {
		rank := rankOf(c, req, i)
		if best < 0 || lessRank(rank, lowest) {
			best, lowest = i, rank
		}
	}
	return best
}

func batchRank(c *naiveCluster, req policy.Request, i int) [4]int64 {
	return [4]int64{3: naiveScore(c.nodes[i].Capacity, c.free(i).Sub(req.Need), req.Need)}
}

// naiveScore is batch.Score computed directly: free processors, free memory, their imbalance,
// and accelerators.
func naiveScore(capacity, left, need resource.Amount) int64 {
	cpu := left.MilliCPU * 65536 / capacity.MilliCPU
	memory := left.MemoryMiB * 65536 / capacity.MemoryMiB
	uneven := cpu - memory
	if uneven < 0 {
		uneven = -uneven
	}
	score := cpu + memory + uneven
	if capacity.Accelerators > 0 {
		score += left.Accelerators * 65536 / capacity.Accelerators
		if need.Accelerators == 0 {
			score += 8 * 65536
		}
	}
	return score
}

// naiveService is the service policy; it counts the replicas for each candidate.
func naiveService(c *naiveCluster, req policy.Request) int {
	return naiveBest(c, req, serviceRank)
}

func serviceRank(c *naiveCluster, req policy.Request, i int) [4]int64 {
	n := c.nodes[i]
	rank := batchRank(c, req, i)
	if req.Spread == spec.SpreadZone {
		rank[0] = int64(c.count(req.Workload, func(o cluster.Node) bool { return o.Zone == n.Zone && o.Region == n.Region }))
	}
	if req.Spread == spec.SpreadZone || req.Spread == spec.SpreadRack {
		rank[1] = int64(c.count(req.Workload, func(o cluster.Node) bool { return o.Rack == n.Rack }))
	}
	if req.Spread != spec.SpreadNone {
		rank[2] = int64(c.count(req.Workload, func(o cluster.Node) bool { return o.ID == n.ID }))
	}
	return rank
}

func lessRank(a, b [4]int64) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// naiveGang reports whether a gang fits. It places the tasks one by one with first fit, which
// is exact for equal tasks.
func naiveGang(c *naiveCluster, req policy.Request) bool {
	trial := naiveCluster{nodes: c.nodes, tasks: append([]placedTask(nil), c.tasks...)}
	for range req.Tasks {
		fits := trial.candidates(req.Need)
		if len(fits) == 0 {
			return false
		}
		trial.tasks = append(trial.tasks, placedTask{node: fits[0], need: req.Need})
	}
	return true
}
