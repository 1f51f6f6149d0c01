// Package explain describes why work can never run: which worker comes closest to holding a
// task, and what it lacks.
package explain

import (
	"fmt"

	"gentianstand/internal/placement/cluster"
	"gentianstand/internal/resource"
)

// NeverFits reports whether no worker could hold need even if it were empty. If so, it describes
// the closest worker and the missing amount. It reports false for a cluster without workers,
// because nothing is known yet.
func NeverFits(c *cluster.Cluster, need resource.Amount) (string, bool) {
	nearest := -1
	var least float64
	for i := range c.Len() {
		n := c.Node(i)
		if need.Fits(n.Capacity) {
			return "", false
		}
		if lack := shortfallShare(need, n.Capacity); nearest < 0 || lack < least {
			nearest, least = i, lack
		}
	}
	if nearest < 0 {
		return "", false
	}
	n := c.Node(nearest)
	return fmt.Sprintf("no worker can hold a task of %s; the nearest, %s, lacks %s", need, n.ID, missing(need, n.Capacity)), true
}

// GangNeverFits is NeverFits for a gang: it also reports true if all workers together, when
// empty, have too little capacity for all of its tasks.
func GangNeverFits(c *cluster.Cluster, need resource.Amount, tasks int) (string, bool) {
	if c.Len() == 0 {
		return "", false
	}
	if why, never := NeverFits(c, need); never {
		return why, true
	}
	var places int64
	for i := range c.Len() {
		places += need.CountIn(c.Node(i).Capacity, int64(tasks))
	}
	if places >= int64(tasks) {
		return "", false
	}
	return fmt.Sprintf("all %d tasks must run at once, but the workers have only %d places for a task of %s", tasks, places, need), true
}

// shortfallShare returns the sum over all dimensions of the missing share of what is needed.
func shortfallShare(need, have resource.Amount) float64 {
	short := need.Sub(have)
	return part(short.MilliCPU, need.MilliCPU) + part(short.MemoryMiB, need.MemoryMiB) + part(short.Accelerators, need.Accelerators)
}

func part(short, need int64) float64 {
	if short <= 0 || need == 0 {
		return 0
	}
	return float64(short) / float64(need)
}

func missing(need, have resource.Amount) resource.Amount {
	return need.Sub(have).Max(resource.Amount{})
}
