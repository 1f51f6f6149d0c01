package entry

import (
	"context"

	"gentianstand/internal/planner"
	"gentianstand/internal/run"
)

// Runs submits, cancels and reads runs at the planner.
type Runs interface {
	Submit(ctx context.Context, workload, key, by string) (string, error)
	Cancel(ctx context.Context, ids []string, workload, by string) (int, error)
	Run(ctx context.Context, id string) (run.Run, error)
	Summaries(ctx context.Context) ([]planner.Summary, error)
}
