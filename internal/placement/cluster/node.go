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
	// Late is what a task may take that will still run when a reservation
	// begins. It equals Free where nothing is reserved.
	Late resource.Amount
	// Closed workers get nothing new.
	Closed bool
	// Trial workers are on probation: they get one task at a time.
	Trial bool

	rack int
	zone int
}
