package planner

import (
	"context"

	"gentianstand/internal/fleet"
)

// Owners is how the planner reaches the owners of workers.
type Owners interface {
	// Assign brings assignments to the Owner of an instance. It returns a
	// NotOwner fault if that owner has met a later planner.
	Assign(ctx context.Context, instance string, epoch uint64, list []fleet.Assignment) error
}
