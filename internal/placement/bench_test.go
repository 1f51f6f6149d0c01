package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gentianstand/internal/placement/batch"
	"gentianstand/internal/placement/cluster"
	"gentianstand/internal/placement/gang"
	"gentianstand/internal/placement/policy"
	"gentianstand/internal/placement/service"
	"gentianstand/internal/resource"
	"gentianstand/internal/spec"
)

// clusterSize is the size of a cluster to measure.
type clusterSize struct {
	name                    string
	workers, perRack, tasks int
}

var sizes = []clusterSize{
	{"today", 50, 8, 1100},
	{"target", 610, 8, 14_000},
}

// newLoadedPair returns a cluster with tasks on it and its naive counterpart.
func newLoadedPair(s clusterSize) *clusterPair {
	nodes := newNodes(s.workers, s.perRack, 4, resource.Amount{MilliCPU: 16_000, MemoryMiB: 32 << 10}, 8)
	p := &clusterPair{fast: cluster.New(nodes), naive: &naiveCluster{nodes: nodes}}
	r := rand.New(rand.NewPCG(1, 2))
	for range s.tasks {
		need := resource.Amount{MilliCPU: 250 + int64(r.IntN(3))*125, MemoryMiB: 256 + int64(r.IntN(4))*128}
		node := r.IntN(s.workers)
		if need.Fits(p.fast.Node(node).Free) {
			p.allocate(node, "filler", need)
		}
	}
	return p
}

func requestFor(kind spec.Kind, r *rand.Rand) policy.Request {
	req := policy.Request{Workload: "bench", Need: randomNeed(r), Tasks: 1, Spread: spec.SpreadRack}
	if kind == spec.Job {
		req.Tasks = 8
	}
	return req
}

// BenchmarkPlace measures single decisions of each policy and of its naive version. p99-ns is
// the 99th percentile of a decision.
func BenchmarkPlace(b *testing.B) {
	policies := []struct {
		name  string
		kind  spec.Kind
		fast  policy.Policy
		naive func(*naiveCluster, policy.Request)
	}{
		{"service", spec.Service, service.Policy{}, func(c *naiveCluster, r policy.Request) { naiveService(c, r) }},
		{"batch", spec.Batch, batch.Policy{}, func(c *naiveCluster, r policy.Request) { naiveBatch(c, r) }},
		{"gang", spec.Job, gang.Policy{}, func(c *naiveCluster, r policy.Request) { naiveGang(c, r) }},
	}
	for _, pol := range policies {
		for _, s := range sizes {
			p := newLoadedPair(s)
			b.Run(pol.name+"/"+s.name, func(b *testing.B) {
				r := rand.New(rand.NewPCG(3, 4))
				measure(b, func() {
					req := requestFor(pol.kind, r)
					d := pol.fast.Place(p.fast, req)
					for _, node := range d.Nodes {
						p.fast.Allocate(node, req.Workload, req.Need)
					}
					for _, node := range d.Nodes {
						p.fast.Release(node, req.Workload, req.Need)
					}
				})
			})
			b.Run(pol.name+"/"+s.name+"/naive", func(b *testing.B) {
				r := rand.New(rand.NewPCG(3, 4))
				measure(b, func() { pol.naive(p.naive, requestFor(pol.kind, r)) })
			})
		}
	}
}

func measure(b *testing.B, f func()) {
	b.ReportAllocs()
	took := make([]time.Duration, 0, b.N)
	for b.Loop() {
		started := time.Now()
		f()
		took = append(took, time.Since(started))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)*99/100]), "p99-ns")
	b.ReportMetric(float64(len(took))/b.Elapsed().Seconds(), "placements/s")
}

// BenchmarkPacking fills an empty cluster with heavy-tailed needs and reports the number of
// workers used relative to the lower bound from the sum of the needs, and the same for first
// fit and least loaded.
func BenchmarkPacking(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				needs := randomNeeds(s.workers * 12)
				bound := lowerBound(needs)
				ours := workersUsed(s, needs, placeBatch)
				b.ReportMetric(ours/bound, "ours/bound")
				b.ReportMetric(workersUsed(s, needs, placeFirstFit)/bound, "firstfit/bound")
				b.ReportMetric(workersUsed(s, needs, placeLeastLoaded)/bound, "leastloaded/bound")
			}
		})
	}
}

func randomNeeds(n int) []resource.Amount {
	r := rand.New(rand.NewPCG(5, 6))
	needs := make([]resource.Amount, n)
	for i := range needs {
		needs[i] = randomNeed(r)
	}
	return needs
}

func lowerBound(needs []resource.Amount) float64 {
	var sum resource.Amount
	for _, n := range needs {
		sum = sum.Add(n)
	}
	return max(float64(sum.MilliCPU)/16_000, float64(sum.MemoryMiB)/float64(32<<10))
}

func workersUsed(s clusterSize, needs []resource.Amount, place func(*cluster.Cluster, resource.Amount) int) float64 {
	c := cluster.New(newNodes(s.workers, s.perRack, 4, resource.Amount{MilliCPU: 16_000, MemoryMiB: 32 << 10}, 0))
	used := map[int]bool{}
	for _, need := range needs {
		if node := place(c, need); node >= 0 {
			c.Allocate(node, "w", need)
			used[node] = true
		}
	}
	return float64(len(used))
}

func placeBatch(c *cluster.Cluster, need resource.Amount) int {
	d := batch.Policy{}.Place(c, policy.Request{Need: need, Tasks: 1})
	if !d.Placed() {
		return -1
	}
	return d.Nodes[0]
}

func placeFirstFit(c *cluster.Cluster, need resource.Amount) int {
	for i := range c.Len() {
		if need.Fits(c.Node(i).Free) {
			return i
		}
	}
	return -1
}

func placeLeastLoaded(c *cluster.Cluster, need resource.Amount) int {
	best := -1
	for i := range c.Len() {
		n := c.Node(i)
		if need.Fits(n.Free) && (best < 0 || n.Free.MilliCPU > c.Node(best).Free.MilliCPU) {
			best = i
		}
	}
	return best
}
