package owner

import (
	"context"

	"gentianstand/internal/fleet"
	"gentianstand/internal/worker"
)

// Planner is how an Owner reaches the planner, wherever it is.
type Planner interface {
	// Report brings reports and returns the ended attempts that are kept.
	Report(ctx context.Context, reports []fleet.Report) ([]worker.TaskRef, error)
}
