package cluster

import "gentianstand/internal/resource"

// Cluster is an indexed set of workers. It is not safe for concurrent use.
type Cluster struct {
	nodes  []Node
	racks  []group
	zones  []group
	byID   map[string]int
	rackOf map[string]int
	zoneOf map[string]int
	counts map[string]*Counts
}

// group is a rack, whose members are nodes, or a zone, whose members are racks.
type group struct {
	name    string
	members []int
	zone    int
	// maxFree is the largest free amount in each dimension over all schedulable members.
	maxFree resource.Amount
}

// New returns a Cluster of the given nodes.
func New(nodes []Node) *Cluster {
	c := &Cluster{byID: map[string]int{}, rackOf: map[string]int{}, zoneOf: map[string]int{}, counts: map[string]*Counts{}}
	for _, n := range nodes {
		c.add(n)
	}
	c.Reindex()
	return c
}

func (c *Cluster) add(n Node) {
	zone, ok := c.zoneOf[n.Region+"/"+n.Zone]
	if !ok {
		zone = len(c.zones)
		c.zoneOf[n.Region+"/"+n.Zone] = zone
		c.zones = append(c.zones, group{name: n.Zone})
	}
	rackKey := n.Region + "/" + n.Zone + "/" + n.Rack
	rack, ok := c.rackOf[rackKey]
	if !ok {
		rack = len(c.racks)
		c.rackOf[rackKey] = rack
		c.racks = append(c.racks, group{name: n.Rack, zone: zone})
		c.zones[zone].members = append(c.zones[zone].members, rack)
	}
	n.rack, n.zone = rack, zone
	i := len(c.nodes)
	c.nodes = append(c.nodes, n)
	c.byID[n.ID] = i
	c.racks[rack].members = append(c.racks[rack].members, i)
}

// Len returns the number of workers.
func (c *Cluster) Len() int { return len(c.nodes) }

// Racks returns the number of racks.
func (c *Cluster) Racks() int { return len(c.racks) }

// Node returns worker i.
func (c *Cluster) Node(i int) *Node { return &c.nodes[i] }

// Find returns the index of a worker.
func (c *Cluster) Find(id string) (int, bool) {
	i, ok := c.byID[id]
	return i, ok
}

// Allocate assigns need on worker i to a task of workload.
func (c *Cluster) Allocate(i int, workload string, need resource.Amount) {
	n := &c.nodes[i]
	n.Free = n.Free.Sub(need)
	n.FreeForLong = n.FreeForLong.Sub(need)
	c.Counts(workload).add(n, i, 1)
	c.reindexNode(n)
}

// AllocateUnindexed is Allocate without an update of the index, for filling a new cluster.
// Reindex must be called before the next placement.
func (c *Cluster) AllocateUnindexed(i int, workload string, need resource.Amount) {
	n := &c.nodes[i]
	n.Free = n.Free.Sub(need)
	n.FreeForLong = n.FreeForLong.Sub(need)
	c.Counts(workload).add(n, i, 1)
}

// Reindex rebuilds the index after calls of AllocateUnindexed.
func (c *Cluster) Reindex() {
	for r := range c.racks {
		c.reindexRack(r)
	}
	for z := range c.zones {
		c.reindexZone(z)
	}
}

// Release frees need on worker i that a task of workload held.
func (c *Cluster) Release(i int, workload string, need resource.Amount) {
	n := &c.nodes[i]
	n.Free = n.Free.Add(need)
	n.FreeForLong = n.FreeForLong.Add(need)
	c.Counts(workload).add(n, i, -1)
	c.reindexNode(n)
}

// Reserve reserves need on worker i for later, so that long tasks cannot use it.
func (c *Cluster) Reserve(i int, need resource.Amount) {
	c.nodes[i].FreeForLong = c.nodes[i].FreeForLong.Sub(need)
}

// SetFreeForLong sets the amount that long tasks may use on worker i.
func (c *Cluster) SetFreeForLong(i int, free resource.Amount) { c.nodes[i].FreeForLong = free }

// SetUnschedulable sets whether worker i gets no new tasks.
func (c *Cluster) SetUnschedulable(i int, unschedulable bool) {
	c.nodes[i].Unschedulable = unschedulable
	c.reindexNode(&c.nodes[i])
}

// Counts returns the number of tasks of a workload per zone, rack and worker.
func (c *Cluster) Counts(workload string) *Counts {
	counts, ok := c.counts[workload]
	if !ok {
		counts = &Counts{zone: make([]int, len(c.zones)), rack: make([]int, len(c.racks)), node: map[int]int{}}
		c.counts[workload] = counts
	}
	return counts
}

// EachFit calls visit for every schedulable worker on which need is free. It skips racks and
// zones without such a worker.
func (c *Cluster) EachFit(need resource.Amount, visit func(i int, n *Node)) {
	for z := range c.zones {
		if !need.Fits(c.zones[z].maxFree) {
			continue
		}
		for _, r := range c.zones[z].members {
			c.EachFitInRack(r, need, visit)
		}
	}
}

// EachFitInRack is EachFit restricted to one rack.
func (c *Cluster) EachFitInRack(rack int, need resource.Amount, visit func(i int, n *Node)) {
	g := &c.racks[rack]
	if !need.Fits(g.maxFree) {
		return
	}
	for _, i := range g.members {
		n := &c.nodes[i]
		if !n.Unschedulable && need.Fits(n.Free) {
			visit(i, n)
		}
	}
}

// RackMayFit reports whether need may be free on some worker of a rack. It compares with the
// index only.
func (c *Cluster) RackMayFit(rack int, need resource.Amount) bool {
	return need.Fits(c.racks[rack].maxFree)
}

// ZoneOfRack returns the zone of a rack.
func (c *Cluster) ZoneOfRack(rack int) int { return c.racks[rack].zone }

// RackNodes returns the workers of a rack.
func (c *Cluster) RackNodes(rack int) []int { return c.racks[rack].members }

func (c *Cluster) reindexNode(n *Node) {
	c.reindexRack(n.rack)
	c.reindexZone(n.zone)
}

func (c *Cluster) reindexRack(r int) {
	var most resource.Amount
	for _, i := range c.racks[r].members {
		if !c.nodes[i].Unschedulable {
			most = most.Max(c.nodes[i].Free)
		}
	}
	c.racks[r].maxFree = most
}

func (c *Cluster) reindexZone(z int) {
	var most resource.Amount
	for _, r := range c.zones[z].members {
		most = most.Max(c.racks[r].maxFree)
	}
	c.zones[z].maxFree = most
}
