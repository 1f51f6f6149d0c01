package cluster

import "gentianstand/internal/resource"

// Node is a worker in a Cluster.
type Node struct {
	ID       string
	Region   string
	Zone     string
	Rack     string
	Capacity resource.Amount
	// Free is the amount that is not allocated now.
	Free resource.Amount
	// FreeForLong is the amount available to a task that will still be running when a
	// reservation begins. It equals Free if nothing is reserved.
	FreeForLong resource.Amount
	// Unschedulable workers get no new tasks.
	Unschedulable bool
	// OnProbation workers get one task at a time.
	OnProbation bool

	rack int
	zone int
}
