package planner

import (
	"context"

	"gentianstand/internal/fleet"
)

// Owners is how the planner reaches the owners of workers.
type Owners interface {
	// Assign brings an order to the Owner of an instance. It returns a
	// NotOwner fault if that owner has met a later planner, and a Conflict if
	// it has taken a later order.
	Assign(ctx context.Context, instance string, order fleet.Order) error
}
