package placement_test

import (
	"fmt"
	"math/rand/v2"

	"pgregory.net/rapid"

	"gentianstand/internal/placement/cluster"
	"gentianstand/internal/resource"
)

// newNodes returns workers in racks of perRack that are spread over zones. Every 8th rack has
// accelerators.
func newNodes(workers, perRack, zones int, capacity resource.Amount, accelerators int64) []cluster.Node {
	nodes := make([]cluster.Node, workers)
	for i := range nodes {
		rack := i / perRack
		c := capacity
		if accelerators > 0 && rack%8 == 0 {
			c.Accelerators = accelerators
		}
		nodes[i] = cluster.Node{
			ID: fmt.Sprintf("w%04d", i), Region: fmt.Sprintf("r%d", rack%zones/2), Zone: fmt.Sprintf("z%d", rack%zones),
			Rack: fmt.Sprintf("k%03d", rack), Capacity: c, Free: c, FreeForLong: c,
		}
	}
	return nodes
}

// drawNeed draws the need of a task in round amounts.
func drawNeed(rt *rapid.T) resource.Amount {
	return resource.Amount{
		MilliCPU:     int64(rapid.IntRange(1, 16).Draw(rt, "cpu")) * 500,
		MemoryMiB:    int64(rapid.IntRange(1, 16).Draw(rt, "memory")) * 512,
		Accelerators: int64(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2}).Draw(rt, "accelerators")),
	}
}

// randomNeed draws a heavy-tailed need: most tasks are small, a few large.
func randomNeed(r *rand.Rand) resource.Amount {
	size := int64(1)
	for size < 16 && r.IntN(2) == 0 {
		size *= 2
	}
	return resource.Amount{MilliCPU: size * 250, MemoryMiB: size * int64(256+r.IntN(3)*256)}
}
