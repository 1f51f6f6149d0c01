package owner

import (
	"context"

	"gentianstand/internal/fleet"
)

// Planner is how an Owner reaches the planner, wherever it is.
type Planner interface {
	// Report brings reports and returns the planner's epoch; full says that
	// they are all this owner has.
	Report(ctx context.Context, full bool, reports []fleet.Report) (uint64, error)
}
