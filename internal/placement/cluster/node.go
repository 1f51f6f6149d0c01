package cluster

import "gentianstand/internal/resource"

// Node is one worker in a Cluster.
type Node struct {
	ID       string
	Region   string
	Zone     string
	Rack     string
	Capacity resource.Amount
	// Free is what is not taken now.
	Free resource.Amount
	// FreeForLong is what a task may take that will still run when a reservation
	// begins. It equals Free where nothing is reserved.
	FreeForLong resource.Amount
	// Unschedulable workers get nothing new.
	Unschedulable bool
	// OnProbation workers are on probation: they get one task at a time.
	OnProbation bool

	rack int
	zone int
}
