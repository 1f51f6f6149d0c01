package owner

import (
	"context"

	"gentianstand/internal/fleet"
)

// Planner sends reports to the planner, on whichever instance it runs.
type Planner interface {
	// Report sends reports and returns the planner's epoch. full means that
	// they cover all workers of this owner.
	Report(ctx context.Context, full bool, reports []fleet.Report) (uint64, error)
}
