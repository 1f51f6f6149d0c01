package upkeep

import "context"

// Source lists the operators' maintenance waves and records their state.
type Source interface {
	// Unfinished returns the waves that are not reported as completed.
	Unfinished(ctx context.Context) ([]Wave, error)
	// Report records for operators that a wave is running or completed. A wave that was
	// reported as completed remains completed.
	Report(ctx context.Context, wave uint64, completed bool) error
}
