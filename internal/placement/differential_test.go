// Package placement_test compares the placement policies with naive versions and benchmarks
// both.
package placement_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gentianstand/internal/placement/batch"
	"gentianstand/internal/placement/cluster"
	"gentianstand/internal/placement/gang"
	"gentianstand/internal/placement/policy"
	"gentianstand/internal/placement/service"
	"gentianstand/internal/resource"
	"gentianstand/internal/spec"
)

// clusterPair is a cluster and its naive counterpart, which get the same changes.
type clusterPair struct {
	fast  *cluster.Cluster
	naive *naiveCluster
}

func drawPair(rt *rapid.T) *clusterPair {
	workers := rapid.IntRange(1, 24).Draw(rt, "workers")
	perRack := rapid.IntRange(1, 5).Draw(rt, "per_rack")
	nodes := newNodes(workers, perRack, 4, resource.Amount{MilliCPU: 16_000, MemoryMiB: 16 << 10}, 4)
	for i := range nodes {
		nodes[i].Unschedulable = rapid.IntRange(0, 9).Draw(rt, "closed") == 0
	}
	return &clusterPair{fast: cluster.New(nodes), naive: &naiveCluster{nodes: nodes}}
}

func (p *clusterPair) allocate(node int, workload string, need resource.Amount) {
	p.fast.Allocate(node, workload, need)
	p.naive.tasks = append(p.naive.tasks, placedTask{node, workload, need})
}

func (p *clusterPair) release(i int) {
	t := p.naive.tasks[i]
	p.fast.Release(t.node, t.workload, t.need)
	p.naive.tasks = append(p.naive.tasks[:i], p.naive.tasks[i+1:]...)
}

// churn releases random tasks.
func (p *clusterPair) churn(rt *rapid.T) {
	for range rapid.IntRange(0, 2).Draw(rt, "releases") {
		if n := len(p.naive.tasks); n > 0 {
			p.release(rapid.IntRange(0, n-1).Draw(rt, "release"))
		}
	}
}

// check fails if the index differs from the flat list or a worker is overcommitted.
func (p *clusterPair) check(rt *rapid.T) {
	for i := range p.naive.nodes {
		free := p.naive.free(i)
		if p.fast.Node(i).Free != free {
			rt.Fatalf("worker %d: %s free in the index, %s free by the list of tasks", i, p.fast.Node(i).Free, free)
		}
		if !(resource.Amount{}).Fits(free) {
			rt.Fatalf("worker %d is overcommitted: %s free", i, free)
		}
	}
}

func TestDifferentialBatch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPair(rt)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			req := policy.Request{Workload: "w", Need: drawNeed(rt), Tasks: 1}
			want := naiveBatch(p.naive, req)
			got := batch.Policy{}.Place(p.fast, req)
			compareNode(rt, p, req, got, want, func(i int) [4]int64 { return batchRank(p.naive, req, i) })
			p.churn(rt)
			p.check(rt)
		}
	})
}

func TestDifferentialService(t *testing.T) {
	spreads := []spec.Spread{spec.SpreadZone, spec.SpreadRack, spec.SpreadWorker, spec.SpreadNone}
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPair(rt)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			name := fmt.Sprintf("s%d", rapid.IntRange(0, 2).Draw(rt, "service"))
			req := policy.Request{Workload: name, Need: drawNeed(rt), Tasks: 1, Spread: rapid.SampledFrom(spreads).Draw(rt, "spread")}
			want := naiveService(p.naive, req)
			got := service.Policy{}.Place(p.fast, req)
			compareNode(rt, p, req, got, want, func(i int) [4]int64 { return serviceRank(p.naive, req, i) })
			p.churn(rt)
			p.check(rt)
		}
	})
}

// compareNode checks that both versions place the task or neither does, and that the chosen
// worker has the same rank as the naive choice. Among workers of equal rank either may be
// chosen.
func compareNode(rt *rapid.T, p *clusterPair, req policy.Request, got policy.Decision, want int, rank func(node int) [4]int64) {
	if got.Placed() != (want >= 0) {
		rt.Fatalf("placed %v (%s), naive chose %d", got.Placed(), got.Reason, want)
	}
	if !got.Placed() {
		return
	}
	if chosen := got.Nodes[0]; rank(chosen) != rank(want) {
		rt.Fatalf("chose %d of rank %v, naive chose %d of rank %v", chosen, rank(chosen), want, rank(want))
	}
	p.allocate(got.Nodes[0], req.Workload, req.Need)
}

// TestDifferentialGang checks that a gang is placed exactly when it fits, with all of its tasks
// or none, and that no worker is overcommitted.
func TestDifferentialGang(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPair(rt)
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			req := policy.Request{Workload: "g", Need: drawNeed(rt), Tasks: rapid.IntRange(1, 20).Draw(rt, "tasks")}
			got := gang.Policy{}.Place(p.fast, req)
			if want := naiveGang(p.naive, req); got.Placed() != want {
				rt.Fatalf("placed %v (%s), naive %v", got.Placed(), got.Reason, want)
			}
			if got.Placed() && len(got.Nodes) != req.Tasks {
				rt.Fatalf("%d of %d tasks placed", len(got.Nodes), req.Tasks)
			}
			for _, node := range got.Nodes {
				p.allocate(node, req.Workload, req.Need)
			}
			p.churn(rt)
			p.check(rt)
		}
	})
}

// TestRackLossIsSurvived checks that replicas are spread evenly: while all racks have free
// capacity, no rack holds 2 more replicas than another, so that the loss of a rack affects as
// few as possible.
func TestRackLossIsSurvived(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := newNodes(32, 4, 4, resource.Amount{MilliCPU: 16_000, MemoryMiB: 16 << 10}, 0)
		c := cluster.New(nodes)
		need := resource.Amount{MilliCPU: 1000, MemoryMiB: 512}
		replicas := rapid.IntRange(1, 64).Draw(rt, "replicas")
		perRack := map[string]int{}
		for range replicas {
			d := service.Policy{}.Place(c, policy.Request{Workload: "s", Need: need, Tasks: 1, Spread: spec.SpreadRack})
			c.Allocate(d.Nodes[0], "s", need)
			perRack[c.Node(d.Nodes[0]).Rack]++
		}
		most, least := 0, replicas
		for r := range 8 {
			n := perRack[fmt.Sprintf("k%03d", r)]
			most, least = max(most, n), min(least, n)
		}
		if most-least > 1 {
			rt.Fatalf("%d replicas: one rack holds %d, another %d", replicas, most, least)
		}
	})
}
