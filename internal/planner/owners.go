package planner

import (
	"context"

	"gentianstand/internal/fleet"
)

// Owners sends orders to the owners of workers.
type Owners interface {
	// Assign sends an order to the Owner of an instance. It returns a NotOwner
	// fault if that owner knows a planner with a higher epoch or no longer owns
	// some of the workers, and a Conflict if it has accepted a later order.
	Assign(ctx context.Context, instance string, order fleet.Order) error
}
