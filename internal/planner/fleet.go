package planner

import (
	"time"

	"gentianstand/internal/placement/cluster"
	"gentianstand/internal/resource"
)

// snapshot returns the cluster to place tasks on. It is rebuilt if workers have
// changed.
func (c *Core) snapshot(now time.Time) *cluster.Cluster {
	if !c.clusterStale && c.cluster != nil {
		return c.cluster
	}
	var nodes []cluster.Node
	for _, v := range c.workers {
		if v.usable() {
			nodes = append(nodes, c.nodeOf(v, now))
		}
	}
	sortNodes(nodes)
	c.cluster = cluster.New(nodes)
	for i := range nodes {
		c.allocateAssigned(i, c.workers[nodes[i].ID])
	}
	c.cluster.Reindex()
	c.clusterStale = false
	return c.cluster
}

func (c *Core) nodeOf(v *workerView, now time.Time) cluster.Node {
	r := v.report
	return cluster.Node{
		ID: r.Worker, Region: r.Region, Zone: r.Zone, Rack: r.Rack,
		Capacity: r.Capacity, Free: r.Capacity, FreeForLong: r.Capacity,
		Unschedulable: c.health.Quarantined(r.Worker, now), OnProbation: c.health.OnProbation(r.Worker),
	}
}

// allocateAssigned allocates the resources of a worker's recorded tasks and
// orphaned attempts.
func (c *Core) allocateAssigned(i int, v *workerView) {
	for key := range v.tasks {
		e := c.runs[key.run]
		c.cluster.AllocateUnindexed(i, e.run.Workload.Name, e.run.Tasks[key.index].Need)
	}
	for _, status := range v.orphans {
		c.cluster.AllocateUnindexed(i, status.Workload, status.Need)
	}
}

// total returns the total capacity of all usable workers.
func (c *Core) total() resource.Amount {
	var sum resource.Amount
	for i := range c.cluster.Len() {
		sum = sum.Add(c.cluster.Node(i).Capacity)
	}
	return sum
}

func (c *Core) fleetChanged() {
	c.clusterStale = true
	c.fleetVersion++
}
