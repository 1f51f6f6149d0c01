package cluster

// Counts is the number of tasks of one workload in each zone, rack and worker.
type Counts struct {
	zone []int
	rack []int
	node map[int]int
}

// Zone returns the count in the zone of worker n.
func (c *Counts) Zone(n *Node) int { return c.zone[n.zone] }

// Rack returns the count in the rack of worker n.
func (c *Counts) Rack(n *Node) int { return c.rack[n.rack] }

// Node returns the count on worker i.
func (c *Counts) Node(i int) int { return c.node[i] }

// InRack returns the count in a rack.
func (c *Counts) InRack(rack int) int { return c.rack[rack] }

// InZone returns the count in a zone.
func (c *Counts) InZone(zone int) int { return c.zone[zone] }

func (c *Counts) add(n *Node, i, delta int) {
	c.zone[n.zone] += delta
	c.rack[n.rack] += delta
	c.node[i] += delta
	if c.node[i] == 0 {
		delete(c.node, i)
	}
}
